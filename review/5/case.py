"""One node's process is killed and starts again while leafs are taken away."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r  # noqa: E402

ZONES = ("centrs", "purvciems", "imanta", "kengarags")
ROUNDS, ROUND_S = 18, 5.0
# The first of each zone in the nodes' own ranking, which passes changes on to the others of its zone.
KILLED = (2, 0, 1)
RESTART_S = 0.3  # a process that is killed starts again after a short delay
TAKEN_AWAY_AT = (0.0, 0.31, 0.62)  # from the beginning of a round
KILL_AT = 0.33
STAY_S = 6.3  # for which a leaf serves after its removal: drainMs and a little longer


async def play(rig):
    leafs = []
    for index in range(ROUNDS * len(TAKEN_AWAY_AT) + 4):
        leaf = r.Leaf(rig, f"i-{rig.random.getrandbits(40):010x}", "ledger", rig.leaf_address(index), slots=3, work_s=0.12,
                      zone=rig.zones[index % 4])
        await leaf.start()
        leafs.append(leaf)
    rig.configure([{"name": "r-slip", "host": r.HOST, "pathPrefix": "/slip/", "type": "non_idempotent",
                    "service": "ledger", "timeoutMs": 3000, "sloMs": 800, "priority": 1, "attempts": 2}], ["ledger"])
    await rig.start_nodes()
    await r.asyncio.sleep(r.STABILITY_S)
    begin = rig.record.now()
    clients = [r.Client(rig, seed) for seed in range(40)]
    rig.press([r.Kind("slip", "/slip/", "POST", 100, 3.0, idempotent=False)], clients,
              begin + ROUNDS * ROUND_S + 1)
    removed = {}
    killed = []
    leaving = []

    async def take_away(leaf, at):
        await rig.sleep_until(at)
        leaf.forget()
        removed[leaf] = rig.record.now()
        rig.record.add(f"leaf {leaf.id} is taken away: its entry is removed, acknowledged")
        await rig.sleep_until(at + STAY_S)
        leaf.end()
        rig.record.add(f"leaf {leaf.id} has ended; at work then: {len(leaf.broken_off)}")

    for number in range(ROUNDS):
        start = begin + number * ROUND_S
        count = len(TAKEN_AWAY_AT)
        leaving += [r.asyncio.ensure_future(take_away(leaf, start + at))
                    for leaf, at in zip(leafs[number * count:(number + 1) * count], TAKEN_AWAY_AT)]
        await rig.sleep_until(start + KILL_AT)
        if r.TROUBLE:
            node = rig.nodes[KILLED[number % len(KILLED)]]
            killed.append((rig.record.now(), node))
            await node.kill()
            await rig.sleep_until(start + KILL_AT + RESTART_S)
            node.start()
        await rig.sleep_until(start + ROUND_S)
    await r.asyncio.gather(*rig.tasks, *leaving)

    sent = {a.id: a for a in rig.attempts}
    late, lost = [], []
    for leaf, when in removed.items():
        for at, request, _ in leaf.arrivals:
            attempt = sent[request]
            out_of_touch = any(node.front == attempt.node and -1 < attempt.sent - then < 1 + r.STABILITY_S
                               for then, node in killed)
            if at > when + r.DRAIN_S and not out_of_touch:
                late.append((leaf.id, attempt.node[0]))
        lost += [request for _, request in leaf.broken_off if sent[request].status not in range(200, 300)]
    pairs = sorted(set(late))
    rig.record.add(f"{len(removed)} leafs were taken away; {len(pairs)} of the pairs of leaf and node in touch went on "
                   f"later than drainMs: {pairs}; {len(late)} requests; {len(lost)} requests were at work when such a "
                   f"leaf ended and are lost", show=True)
    if late:
        return [f"DRAIN: {len(late)} requests reached leafs later than drainMs after these were gone"]
    return []


if __name__ == "__main__":
    r.main(pathlib.Path(__file__).parent, 97, 7, play, zones=ZONES)
