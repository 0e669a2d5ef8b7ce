"""Calls to the configuration service for a whole fleet, by size."""

import time
from typing import Any, Callable, Dict, List

from . import deployment
from .processes import Fleet
from .report import Report

LIMIT_PER_SECOND = 2000.0
# Fleets of 8 nodes have 8 failure domains and others 13, so calls are compared for each domain. The tolerance covers
# readers that are replaced during a window.
FLAT_RATIO = 1.5
TARGET_NODES = 4700
STEADY_SECONDS = 12.0
START_SECONDS = 15.0
QUICK_SECONDS = 8.0
READY_SECONDS = 60.0
SETTLE_SECONDS = 5.0
SAMPLE_SECONDS = 0.2
WINDOW_SAMPLES = 5


def total_calls(fleet: Fleet) -> int:
    calls = fleet.service_stats()["calls"]
    return calls["watch"] + calls["read"]


def sample_calls(fleet: Fleet, seconds: float) -> Dict[str, float]:
    """Mean and highest rate, the latter over windows of one second."""
    samples = [(time.monotonic(), total_calls(fleet))]
    while samples[-1][0] - samples[0][0] < seconds:
        time.sleep(SAMPLE_SECONDS)
        samples.append((time.monotonic(), total_calls(fleet)))
    pairs = zip(samples, samples[WINDOW_SAMPLES:])
    peak = max((after[1] - before[1]) / (after[0] - before[0]) for before, after in pairs)
    first, last = samples[0], samples[-1]
    return {"mean_per_s": (last[1] - first[1]) / (last[0] - first[0]), "peak_per_s": peak}


def add_row(report: Report, size: int, case: str, sample: Dict[str, float]) -> None:
    domains = min(size, deployment.DOMAINS)
    row: Dict[str, Any] = {"nodes": size, "case": case, **sample}
    row["mean_per_domain"] = sample["mean_per_s"] / domains
    row["mean_per_node"] = sample["mean_per_s"] / size
    report.rows.append(row)
    report.target(f"{size} nodes: {case}, highest rate", LIMIT_PER_SECOND, sample["peak_per_s"], "calls/s")


def start_case(report: Report, size: int, case: str, seconds: float, prepare: Callable[[Fleet], None]) -> None:
    with Fleet(report.name, size) as fleet:
        prepare(fleet)
        fleet.start_all()
        add_row(report, size, case, sample_calls(fleet, seconds))


def steady_cases(report: Report, size: int, seconds: float) -> None:
    with Fleet(report.name, size) as fleet:
        fleet.start_all()
        fleet.publish_small()
        ready = fleet.wait_ready(fleet.nodes, READY_SECONDS)
        report.target(f"{size} nodes: all ready after the start", 0, 0 if ready else 1, "nodes missing")
        time.sleep(SETTLE_SECONDS)
        add_row(report, size, "steady", sample_calls(fleet, seconds))
        fleet.service_mode("stale", head=1)
        add_row(report, size, "service stale", sample_calls(fleet, seconds))


def flat_targets(report: Report) -> None:
    for case in sorted({row["case"] for row in report.rows}):
        rates = [row["mean_per_domain"] for row in report.rows if row["case"] == case]
        name = f"{case}: calls per failure domain, highest to lowest"
        report.target(name, FLAT_RATIO, max(rates) / min(rates), "ratio")


def project(report: Report) -> None:
    """A fleet without a host list has no confirmed view at first, so its calls grow with the fleet."""
    rows = [row for row in report.rows if row["case"] == "start, host list down"]
    largest = max(rows, key=lambda row: row["nodes"])
    per_node = largest["peak_per_s"] / largest["nodes"]
    report.target(f"start, host list down: highest rate projected to {TARGET_NODES} nodes", LIMIT_PER_SECOND,
                  per_node * TARGET_NODES, "calls/s")


def measure(report: Report, sizes: List[int], seed: int, quick: bool) -> None:
    del seed
    steady = QUICK_SECONDS if quick else STEADY_SECONDS
    start = QUICK_SECONDS if quick else START_SECONDS
    for size in sizes:
        steady_cases(report, size, steady)
        start_case(report, size, "simultaneous start", start, lambda fleet: None)
        start_case(report, size, "start, host list down", start, lambda fleet: fleet.list_mode("down"))


def conclude(report: Report) -> None:
    report.rows.sort(key=lambda row: row["nodes"])
    flat_targets(report)
    project(report)
    report.notes.append("Without a host list and without peers each process makes at most one call per 5 s (design "
                        "page, 8.1), so the calls of this case grow with the fleet by design.")
