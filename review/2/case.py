"""Some leafs spoil a few of their answers: the signature is a long row of wrong bytes."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r  # noqa: E402

SHARDS = 60
SPOILING, SPOILED = 0.5, 0.04  # garble: share of the leafs, part of their answers
SPOILED_BYTES = 14_000  # the node accepts heads of leafs up to 16 KB
TROUBLE_AT = 5.0
SPELLS, SPELL_S, PAUSE_S = 8, 5.0, 1.0
RESTART_S = 0.5


class SpoilingLeaf(r.Leaf):
    spoils = False

    def stamp(self, request):
        stamp = super().stamp(request)
        if self.spoils and self.rig.random.random() < SPOILED:
            self.rig.record.add(f"leaf {self.id} spoils its answer to {request}")
            return stamp + "." + "?" * (SPOILED_BYTES - len(stamp))
        return stamp


async def play(rig):
    shards = [f"shard{index}" for index in range(SHARDS)]
    gathering = []
    for index, service in enumerate(shards):
        leaf = SpoilingLeaf(rig, f"i-{rig.random.getrandbits(40):010x}", service, rig.leaf_address(index), slots=6,
                            work_s=0.015, records=True, zone=rig.zones[index % 3])
        await leaf.start()
        gathering.append(leaf)
    plain = []
    for index in range(4):
        leaf = r.Leaf(rig, f"i-{rig.random.getrandbits(40):010x}", "ledger", rig.leaf_address(SHARDS + index), slots=6,
                      work_s=0.3, zone=rig.zones[index % 3])
        await leaf.start()
        plain.append(leaf)
    common = {"host": r.HOST, "priority": 1, "attempts": 2}
    rig.configure([{"name": "r-stock", "pathPrefix": "/stock/", "type": "idempotent", "timeoutMs": 1200, "sloMs": 300,
                    "gather": shards, "topK": 20, "minCoverage": 0.89, **common},
                   {"name": "r-slip", "pathPrefix": "/slip/", "type": "non_idempotent", "timeoutMs": 3000, "sloMs": 800,
                    "service": "ledger", **common}], shards + ["ledger"])
    await rig.start_nodes()
    begin = rig.record.now()
    clients = [r.Client(rig, seed) for seed in range(30)]
    end = begin + TROUBLE_AT + SPELLS * (SPELL_S + PAUSE_S) + 4
    rig.press([r.Kind("kiosk-stock", "/stock/", "GET", 20, 1.2), r.Kind("slip", "/slip/", "POST", 40, 3.0, idempotent=False)],
              clients, end)
    ended = []
    state = {"over": False}

    async def restart():
        """The platform starts a process that has ended again after a short delay."""
        while not state["over"]:
            await r.asyncio.sleep(0.02)
            for node in rig.nodes:
                if node.process.poll() is not None:
                    ended.append((rig.record.now(), node))
                    rig.record.add(f"the process of {node.name} has ended by itself: {node.process.returncode}", show=True)
                    await r.asyncio.sleep(RESTART_S)
                    node.start()

    watcher = r.asyncio.ensure_future(restart())
    await rig.sleep_until(begin + TROUBLE_AT)
    for _ in range(SPELLS):
        if r.TROUBLE:
            rig.record.add(f"{SPOILING:.0%} of the shards' leafs spoil {SPOILED:.0%} of their answers", show=True)
        for leaf in gathering[::int(1 / SPOILING)]:
            leaf.spoils = r.TROUBLE
        await r.asyncio.sleep(SPELL_S)
        for leaf in gathering:
            leaf.spoils = False
        await r.asyncio.sleep(PAUSE_S)
    await r.asyncio.gather(*rig.tasks)
    state["over"] = True
    await watcher

    ran = {request for leaf in plain for _, request, _ in leaf.arrivals}
    cut = [a for a in rig.attempts if a.outcome == "cut" and a.kept and a.id in ran
           and any(a.node == node.front and abs(a.ended - when) < 0.5 for when, node in ended)]
    good = sum(200 <= a.status < 300 for a in rig.attempts)
    rig.record.add(f"processes ended by themselves {len(ended)} times; {len(cut)} requests from kept connections, passed on "
                   f"to sound leafs, have no answer; {good} of {len(rig.attempts)} attempts were answered with success",
                   show=True)
    if len(cut) > 3:
        return [f"LOST: {len(cut)} requests from kept connections were passed on to sound leafs, and these connections "
                f"closed without an answer"]
    return []


if __name__ == "__main__":
    r.main(pathlib.Path(__file__).parent, 98, 3, play)
