"""Large configurations in quick succession, again and again, until the nodes hold more memory than they may."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r  # noqa: E402

CONFIGURATION_BYTES = 1_000_000  # valueBytes is 1,048,576
CHANGES, GAP_S, PAUSE_S = 20, 0.205, 0.4  # config_storm of 4 s, again and again
FIRST_AT, END_AT = 4.0, 95.0
RESTART_S = 0.3


async def play(rig):
    leafs = []
    for index in range(6):
        leafs.append(r.Leaf(rig, f"i-{rig.random.getrandbits(40):010x}", "ledger", rig.leaf_address(index), slots=6,
                            work_s=0.3, zone=rig.zones[index % 3]))
        await leafs[-1].start()
    common = {"host": r.HOST, "timeoutMs": 3000, "sloMs": 800, "priority": 1, "attempts": 2, "service": "ledger"}

    def routes(change):
        rows = [{"name": "r-slip", "pathPrefix": "/slip/", "type": "non_idempotent", **common}]
        one = len(r.json.dumps({**rows[0], "name": "r-00000", "pathPrefix": "/idle00000/"}, separators=(",", ":"))) + 1
        rows += [{**rows[0], "name": f"r-{i:05}", "pathPrefix": f"/idle{i:05}/",
                  "timeoutMs": 3000 + (change if i == 0 else 0)} for i in range((CONFIGURATION_BYTES - 2000) // one)]
        return rows

    rig.configure(routes(0), ["ledger"])
    await rig.start_nodes()
    begin = rig.record.now()
    clients = [r.Client(rig, seed) for seed in range(40)]
    kind = r.Kind("slip", "/slip/", "POST", 60, 3.0, idempotent=False)
    state = {"over": False, "killed": []}

    async def watch_memory():
        """Stands for the platform: a process that exceeds memoryMb is killed, and started again after a short delay."""
        shown = 0.0
        while not state["over"]:
            await r.asyncio.sleep(0.02)
            if rig.record.now() - shown > 5:
                shown = rig.record.now()
                rig.record.add("memory: " + ", ".join(f"{n.name} {n.resident_mb():.0f} MB" for n in rig.nodes), show=True)
            for node in rig.nodes:
                if node.resident_mb() > r.MEMORY_MB and node.process.poll() is None:
                    held = node.resident_mb()
                    state["killed"].append((rig.record.now(), node, held))
                    rig.record.add(f"{node.name} holds {held:.0f} MB, more than memoryMb = {r.MEMORY_MB}", show=True)
                    await node.kill()
                    await r.asyncio.sleep(RESTART_S)
                    node.start()

    watcher = r.asyncio.ensure_future(watch_memory())
    rig.press([kind], clients, begin + END_AT)
    await rig.sleep_until(begin + FIRST_AT)
    change = 0
    while rig.record.now() < begin + END_AT - 3 and len({row[1].name for row in state["killed"]}) < len(rig.nodes):
        start = rig.record.now()
        for number in range(CHANGES if r.TROUBLE else 1):
            change += 1
            rig.configure(routes(change), ["ledger"], show=False)
            await rig.sleep_until(start + (number + 1) * GAP_S)
        await rig.sleep_until(start + CHANGES * GAP_S + PAUSE_S)
    rig.record.add(f"{change} changes of the configuration were written", show=True)
    await rig.sleep_until(min(begin + END_AT, rig.record.now() + 3))
    for task in rig.tasks:
        task.cancel()
    state["over"] = True
    await watcher

    ran = {request for leaf in leafs for _, request, _ in leaf.arrivals}
    broken = []
    for when, node, held in state["killed"]:
        cut = [a for a in rig.attempts if a.node == node.front and a.outcome == "cut" and a.id in ran
               and a.sent <= when and abs(a.ended - when) < 1]
        kept = [a for a in cut if a.kept]
        rig.record.add(f"{node.name} ended at {when:.1f} s with {held:.0f} MB: {len(cut)} requests that leafs ran have no "
                       f"answer, {len(kept)} of them from kept connections", show=True)
        if len(kept) > 3:
            broken.append(f"LOST: {node.name} passed {len(kept)} requests from kept connections on to sound leafs and "
                          f"closed these connections without an answer")
    return broken


if __name__ == "__main__":
    r.main(pathlib.Path(__file__).parent, 95, 3, play)
