"""Time from the publication of a ticket until it is in force on the last node."""

import random
import signal
import time
from typing import Any, Dict, List, Tuple

from . import deployment
from .processes import Fleet, Node, wait_for
from .report import Report, percentile

TARGET_SECONDS = 4.0
WAIT_SECONDS = 20.0
TICKETS = 30
QUICK_TICKETS = 5
# A node keeps the bodies of the last 256 tickets: 30 of 1 MB on 200 nodes would pass the memory of the machine.
LARGE_TICKETS_BIG_FLEET = 5
BIG_FLEET = 100
KILLED_SHARE = 0.3
PAUSED_SHARE = 0.1
PAUSE_SECONDS = (1.0, 20.0)
START_SECONDS = 60.0
SETTLE_SECONDS = 3.0
BACKOFF_SECONDS = 2.2


def last_node(fleet: Fleet, nodes: List[Node], number: int, published: float) -> float:
    """Seconds until the ticket is in force on the last of the nodes; infinite when it was not."""
    if not fleet.wait_in_force(number, nodes, WAIT_SECONDS):
        return float("inf")
    return max(node.log.when_in_force(number) for node in nodes) - published


def row(size: int, case: str, times: List[float]) -> Dict[str, Any]:
    return {"nodes": size, "case": case, "tickets": len(times), "p50_s": percentile(times, 0.5),
            "p99_s": percentile(times, 0.99), "max_s": max(times)}


def publish_series(fleet: Fleet, count: int, large: bool) -> List[float]:
    make = deployment.large_ticket if large else deployment.small_ticket
    times = []
    for _ in range(count):
        body = make(fleet.head + 1)
        published = fleet.publish(body)
        times.append(last_node(fleet, fleet.nodes, fleet.head, published))
    return times


def publish_then_down(fleet: Fleet) -> float:
    """The service answers one read of the new ticket and is down from then on."""
    fleet.service_mode("up", reads_until_down=1)
    published = fleet.publish_small()
    seconds = last_node(fleet, fleet.nodes, fleet.head, published)
    fleet.service_mode("up")
    # Readers back off for up to 2 s; without the wait the next ticket would measure the backoff.
    time.sleep(BACKOFF_SECONDS)
    return seconds


def kill_case(fleet: Fleet, randomness: random.Random, count: int) -> List[float]:
    killed = randomness.sample(fleet.nodes, max(1, round(len(fleet.nodes) * KILLED_SHARE)))
    for node in killed:
        node.signal(signal.SIGKILL)
    survivors = [node for node in fleet.nodes if node not in killed]
    times = []
    for _ in range(count):
        published = fleet.publish_small()
        times.append(last_node(fleet, survivors, fleet.head, published))
    return times


def pause_plan(fleet: Fleet, randomness: random.Random, longest: float) -> List[Tuple[float, Node]]:
    """Which nodes are stopped and for how long; the first stop has the shortest and the second the longest time."""
    paused = randomness.sample(fleet.nodes, max(2, round(len(fleet.nodes) * PAUSED_SHARE)))
    lengths = [PAUSE_SECONDS[0], longest]
    lengths += [randomness.uniform(PAUSE_SECONDS[0], longest) for _ in paused[2:]]
    return sorted(zip(lengths, paused), key=lambda pair: pair[0])


def pause_case(fleet: Fleet, randomness: random.Random, longest: float) -> Tuple[List[float], List[float]]:
    """Times from the resume at stopped nodes, and from the publication at the others."""
    plan = pause_plan(fleet, randomness, longest)
    others = [node for node in fleet.nodes if node not in [pair[1] for pair in plan]]
    for _, node in plan:
        node.signal(signal.SIGSTOP)
    begin = time.time()
    resumed: List[Tuple[Node, float, int]] = []
    published: List[Tuple[int, float]] = []
    while plan:
        published.append((fleet.head + 1, fleet.publish_small()))
        time.sleep(0.5)
        while plan and time.time() - begin >= plan[0][0]:
            node = plan.pop(0)[1]
            resumed.append((node, time.time(), fleet.head))
            node.signal(signal.SIGCONT)
    wait_for(lambda: fleet.wait_in_force(fleet.head, fleet.nodes, 0), WAIT_SECONDS)
    from_resume = [max(0.0, (node.log.when_in_force(head) or float("inf")) - when) for node, when, head in resumed]
    from_publish = [max(node.log.when_in_force(number) or float("inf") for node in others) - when
                    for number, when in published]
    return from_resume, from_publish


def measure_size(report: Report, size: int, seed: int, quick: bool) -> None:
    randomness = random.Random(seed)
    count = QUICK_TICKETS if quick else TICKETS
    with Fleet(report.name, size) as fleet:
        fleet.start_all()
        ready = fleet.wait_ready(fleet.nodes, START_SECONDS)
        report.target(f"{size} nodes: all ready after the start", 0, 0 if ready else 1, "nodes missing")
        time.sleep(SETTLE_SECONDS)
        cases = {"service up, small": publish_series(fleet, count, False)}
        large = min(count, LARGE_TICKETS_BIG_FLEET) if size > BIG_FLEET else count
        cases["service up, 1 MB"] = publish_series(fleet, large, True)
        cases["service down after one read"] = [publish_then_down(fleet) for _ in range(count)]
        resumed, others = pause_case(fleet, randomness, 5.0 if quick else PAUSE_SECONDS[1])
        cases["SIGSTOP of 10 %, stopped nodes, from the resume"] = resumed
        cases["SIGSTOP of 10 %, other nodes"] = others
        cases["30 % killed"] = kill_case(fleet, randomness, count)
        finish_size(report, fleet, cases)


def finish_size(report: Report, fleet: Fleet, cases: Dict[str, List[float]]) -> None:
    size = len(fleet.nodes)
    for case, times in cases.items():
        report.rows.append(row(size, case, times))
        report.target(f"{size} nodes: {case}, maximum", TARGET_SECONDS, max(times), "s")
    report.target(f"{size} nodes: decreases of the number in force", 0, fleet.decreases(), "events")
    report.target(f"{size} nodes: broken invariants", 0, fleet.broken_invariants(), "events")


def measure(report: Report, sizes: List[int], seed: int, quick: bool) -> None:
    for size in sizes:
        measure_size(report, size, seed, quick)


def conclude(report: Report) -> None:
    report.notes.append(f"With more than {BIG_FLEET} nodes only {LARGE_TICKETS_BIG_FLEET} tickets have 1 MB, "
                        "because each node keeps the bodies of the last 256 tickets.")
    report.notes.append("Times are read from the nodes' log lines; a node looks at its ticket store every 100 ms.")
    report.rows.sort(key=lambda row: row["nodes"])
