"""Restart of all nodes within 30 s, with the configuration service up, down and stale."""

import random
import signal
import time
from typing import Dict, List, Optional

from . import webclient
from .processes import Fleet, Node, wait_for
from .report import Report

TICKETS = 10
STALE_HEAD = 4
RESTART_SECONDS = 30.0
QUICK_SECONDS = 10.0
READY_SECONDS = 60.0
SETTLE_SECONDS = 5.0
# A wait of 10 s for ready peers, a reader's delay of up to 2 s, and the exchange of the state.
TARGET_READY_SECONDS = 15.0
NOT_READY_SECONDS = 15.0
QUERY = b'{"caller":"caller-1","service":"lookup","query":{"terms":["x"]},"limit":1}'


def start(fleet: Fleet, report: Report, case: str) -> None:
    for _ in range(TICKETS):
        fleet.publish_small()
    fleet.start_all()
    ready = fleet.wait_ready(fleet.nodes, READY_SECONDS)
    ready = ready and fleet.wait_in_force(fleet.head, fleet.nodes, READY_SECONDS)
    name = f"{len(fleet.nodes)} nodes, {case}: all ready before the restart"
    report.target(name, 0, 0 if ready else 1, "nodes missing")
    time.sleep(SETTLE_SECONDS)


def restart(fleet: Fleet, randomness: random.Random, seconds: float) -> None:
    """Kills and starts each node once, in random order."""
    order = randomness.sample(fleet.nodes, len(fleet.nodes))
    begin = time.monotonic()
    for index, node in enumerate(order):
        time.sleep(max(0.0, begin + seconds * index / len(order) - time.monotonic()))
        node.kill()
        node.start()


def restart_at_once(fleet: Fleet) -> None:
    for node in fleet.nodes:
        node.signal(signal.SIGKILL)
    for node in fleet.nodes:
        node.process.wait()
    for node in fleet.nodes:
        node.start()


def ready_number(node: Node) -> Optional[int]:
    """Number in force when the node became ready; logged in the same round, so within 100 ms of it."""
    when = node.log.first_ready()
    return None if when is None else node.log.number_at(when + 0.1)


def set_back(fleet: Fleet) -> int:
    """Nodes that became ready with a lower number than the fleet had before the restart."""
    numbers = [ready_number(node) for node in fleet.nodes]
    return sum(1 for number in numbers if number is not None and number < fleet.head)


def times_to_ready(fleet: Fleet) -> List[float]:
    return [(node.log.first_ready() or float("inf")) - node.started for node in fleet.nodes]


def rolling_case(report: Report, size: int, mode: str, randomness: random.Random, seconds: float) -> None:
    case = f"all restarted in {seconds:.0f} s, service {mode}"
    with Fleet(report.name, size) as fleet:
        start(fleet, report, case)
        if mode != "up":
            fleet.service_mode(mode, **({"head": STALE_HEAD} if mode == "stale" else {}))
        restart(fleet, randomness, seconds)
        fleet.wait_ready(fleet.nodes, READY_SECONDS)
        add_row(report, fleet, case)
        report.target(f"{size} nodes, {case}: time to ready of a node", TARGET_READY_SECONDS,
                      max(times_to_ready(fleet)), "s")


def add_row(report: Report, fleet: Fleet, case: str) -> None:
    size = len(fleet.nodes)
    times = times_to_ready(fleet)
    ready = [value for value in times if value != float("inf")]
    report.rows.append({"nodes": size, "case": case, "ready": len(ready), "slowest_ready_s": max(times),
                        "mean_ready_s": sum(ready) / len(ready) if ready else None, "set_back": set_back(fleet)})
    report.target(f"{size} nodes, {case}: nodes set back", 0, set_back(fleet), "nodes")
    report.target(f"{size} nodes, {case}: decreases in a process", 0, fleet.decreases(), "events")


def refusals(fleet: Fleet) -> Dict[str, int]:
    """Answers to a lookup at each node, counted by outcome and reason."""
    counts: Dict[str, int] = {}
    for node in fleet.nodes:
        try:
            answer = webclient.call("POST", node.spec.caller, "/v1/query", QUERY)[1].decode()
        except OSError:
            answer = "no connection"
        refused = '"not_run"' in answer and '"not_ready"' in answer
        key = "not_ready" if refused else answer[:80]
        counts[key] = counts.get(key, 0) + 1
    return counts


def all_at_once_down(report: Report, size: int) -> None:
    """No process knows a ticket and the service is down: nobody may serve until the service is back."""
    case = "all restarted at once, service down"
    with Fleet(report.name, size) as fleet:
        start(fleet, report, case)
        fleet.service_mode("down")
        restart_at_once(fleet)
        time.sleep(NOT_READY_SECONDS)
        fleet.update()
        counts = refusals(fleet)
        early = sum(1 for node in fleet.nodes if node.log.first_ready() is not None)
        report.target(f"{size} nodes, {case}: nodes that became ready", 0, early, "nodes")
        report.target(f"{size} nodes, {case}: nodes that did not refuse with not_ready", 0,
                      size - counts.get("not_ready", 0), "nodes")
        back = time.time()
        fleet.service_mode("up")
        wait_for(lambda: fleet.wait_ready(fleet.nodes, 0), READY_SECONDS)
        last = max((node.log.first_ready() or float("inf")) for node in fleet.nodes) - back
        add_row(report, fleet, case + ", then up")
        report.rows[-1]["all_ready_after_up_s"] = last
        report.target(f"{size} nodes, {case}: all ready after the service is up", TARGET_READY_SECONDS, last, "s")
        report.notes.append(f"{size} nodes, {case}: answers to lookups after {NOT_READY_SECONDS:.0f} s: {counts}.")


def all_at_once_up(report: Report, size: int) -> None:
    case = "all restarted at once, service up"
    with Fleet(report.name, size) as fleet:
        start(fleet, report, case)
        restart_at_once(fleet)
        fleet.wait_ready(fleet.nodes, READY_SECONDS)
        add_row(report, fleet, case)
        report.target(f"{size} nodes, {case}: time to ready of a node", TARGET_READY_SECONDS,
                      max(times_to_ready(fleet)), "s")


def measure(report: Report, sizes: List[int], seed: int, quick: bool) -> None:
    randomness = random.Random(seed)
    for size in sizes:
        for mode in ("up", "down", "stale"):
            rolling_case(report, size, mode, randomness, QUICK_SECONDS if quick else RESTART_SECONDS)
        all_at_once_up(report, size)
        all_at_once_down(report, size)


def conclude(report: Report) -> None:
    report.rows.sort(key=lambda row: row["nodes"])
