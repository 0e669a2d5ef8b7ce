"""All leafs of one shard crash and come back under new ids, and all nodes are killed meanwhile."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r  # noqa: E402

SHARDS = 8
FAULT_AT, LEAF_DOWN_S, NODES_DOWN_S = 6.0, 1.5, 0.5
# The ids of the shard's leafs before and after their crash. Ids are random; one time in four each new id of two sorts
# before the old one of the same address.
OLD = ("i-d17c42da55", "i-b3a90c6e12")
NEW = ("i-632015dcf5", "i-0e4417aa93")


async def play(rig):
    services = [f"shard{index}" for index in range(SHARDS)]
    leafs = {}
    for index, service in enumerate(services):
        for copy in range(2):
            name = OLD[copy] if index == 0 else f"i-{rig.random.getrandbits(40):010x}"
            leaf = r.Leaf(rig, name, service, rig.leaf_address(2 * index + copy), slots=2, work_s=0.015, records=True,
                          zone=rig.zones[copy])
            await leaf.start()
            leafs[service, copy] = leaf
    rig.configure([{"name": "r-stock", "host": r.HOST, "pathPrefix": "/stock/", "type": "idempotent", "timeoutMs": 1200,
                    "sloMs": 120, "priority": 1, "attempts": 2, "gather": services, "topK": 20, "minCoverage": 0.89}],
                  services)
    await rig.start_nodes()
    begin = rig.record.now()
    clients = [r.Client(rig, seed) for seed in range(20)]
    kind = r.Kind("kiosk-stock", "/stock/", "GET", 20, 1.2)
    rig.press([kind], clients, begin + FAULT_AT + 30)
    await rig.sleep_until(begin + FAULT_AT)
    fault = rig.record.now()
    if r.TROUBLE:
        for copy in range(2):
            leaf = leafs[services[0], copy]
            leaf.end()
            rig.record.add(f"leaf {leaf.id} of {services[0]} crashes", show=True)
            r.asyncio.get_running_loop().call_later(r.EXPIRY_S, leaf.forget)
        await r.asyncio.sleep(LEAF_DOWN_S)
        for copy in range(2):
            old = leafs[services[0], copy]
            leaf = r.Leaf(rig, NEW[copy], services[0], old.address, slots=2, work_s=0.015, records=True, zone=old.zone)
            await leaf.start()
            rig.record.add(f"leaf {leaf.id} starts at the address of {old.id}", show=True)
        for node in rig.nodes:
            node.signal(signal.SIGKILL)
        for node in rig.nodes:
            await node.wait_end()
        await r.asyncio.sleep(NODES_DOWN_S)
        for node in rig.nodes:
            node.start()
        await rig.wait_ready()
    back = rig.record.now()
    rig.record.add("all machines are back", show=True)
    await r.asyncio.gather(*rig.tasks)

    def served(low, high):
        rows = [a for a in rig.attempts if low <= a.sent < high]
        good = [a for a in rows if 200 <= a.status < 300]
        rig.record.add(f"{low:.1f} to {high:.1f} s: {len(good)} of {len(rows)} requests served; "
                       f"{sorted((s, sum(a.status == s for a in rows)) for s in {a.status for a in rows})}", show=True)
        return len(good) / max(1, len(rows))

    before = served(begin + 1, fault)
    after = served(back + r.RECOVERY_S, rig.record.now())
    if before >= 0.25 and after < 0.25:
        return [f"RECOVER: {after:.2f} of the requests sent later than recoveryS after the machines were back are "
                f"served, {before:.2f} before the fault"]
    return []


if __name__ == "__main__":
    r.main(pathlib.Path(__file__).parent, 93, 3, play)
