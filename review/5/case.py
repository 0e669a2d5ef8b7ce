"""All nodes are killed just after a leaf has reported that it leaves; the second page of the store's stale read is older
than the first."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r  # noqa: E402

OTHERS = 680  # entries of leafs of other services, about as many as on the sheet of rpb-kiosk-grown
DRAIN_AT = 6.0
LAG_S = 2.5  # of the second page; serializable reads may be seconds old
NODES_DOWN_S = 0.5
STAY_S = 12.0  # for which the leaf serves after its report: drainMs and a little longer, at times many seconds


async def play(rig):
    rig.store.keep_snapshots = True
    leafs = []
    for index, name in enumerate(("i-f41c0a7713", "i-f7d20be94a", "i-fa0932c1d8")):
        leafs.append(r.Leaf(rig, name, "ledger", rig.leaf_address(index), slots=6, work_s=0.3, zone=rig.zones[index]))
    rig.configure([{"name": "r-slip", "host": r.HOST, "pathPrefix": "/slip/", "type": "non_idempotent",
                    "service": "ledger", "timeoutMs": 3000, "sloMs": 800, "priority": 1, "attempts": 2}], ["ledger"])
    rig.store.keep_snapshots = False
    for index in range(OTHERS):
        rig.store.put(f"servers/i-{rig.random.randrange(0xf0 << 32):010x}", {
            "service": f"shard{index // 3}", "address": f"{rig.network}.3.{index % 250 + 1}:{9000 + index // 250}",
            "zone": rig.zones[index % 3], "version": "v1", "concurrency": 2, "state": "ready", "warmupLeftMs": 0,
            "sequence": 1, "born": leafs[0].born})
    rig.store.keep_snapshots = True
    for leaf in leafs:
        await leaf.start()
    await rig.start_nodes()
    begin = rig.record.now()
    clients = [r.Client(rig, seed) for seed in range(20)]
    kind = r.Kind("slip", "/slip/", "POST", 30, 3.0, idempotent=False)
    rig.press([kind], clients, begin + DRAIN_AT + STAY_S + 4)
    await rig.sleep_until(begin + DRAIN_AT)
    leaf = leafs[0]
    leaf.state = "draining"
    leaf.publish()
    draining = rig.record.now()
    rig.record.add(f"leaf {leaf.id} reports draining, acknowledged", show=True)
    await r.asyncio.sleep(0.5)
    if r.TROUBLE:
        rig.store.lag_s = lambda after: LAG_S if after else 0.0
        for node in rig.nodes:
            node.signal(signal.SIGKILL)
        for node in rig.nodes:
            await node.wait_end()
        await r.asyncio.sleep(NODES_DOWN_S)
        for node in rig.nodes:
            node.start()
        await rig.wait_ready()
        rig.record.add("all nodes are back", show=True)
    back = rig.record.now()
    await rig.sleep_until(draining + STAY_S)
    leaf.end()
    leaf.forget()
    rig.record.add(f"leaf {leaf.id} has left; at work then: {len(leaf.broken_off)} requests", show=True)
    await r.asyncio.gather(*rig.tasks)
    sent = {a.id: a for a in rig.attempts}
    touch = back + r.STABILITY_S
    late = [request for when, request, _ in leaf.arrivals if when > draining + r.DRAIN_S and sent[request].sent > touch]
    lost = [request for _, request in leaf.broken_off if sent[request].status not in range(200, 300)]
    rig.record.add(f"{len(late)} requests that machines in touch took and sent on reached the leaf later than drainMs "
                   f"after it was draining; {len(lost)} were at work when it left and are lost", show=True)
    if late:
        return [f"DRAIN: {len(late)} requests reached a leaf later than drainMs after it was draining"]
    return []


if __name__ == "__main__":
    r.main(pathlib.Path(__file__).parent, 96, 3, play)
