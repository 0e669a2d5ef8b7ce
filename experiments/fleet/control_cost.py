"""What the control work of a node costs, by fleet size and ticket rate."""

import os
import pathlib
import re
import time
from typing import Any, Dict, List, Optional, Tuple

from . import deployment, webclient
from .processes import Fleet, Node, wait_for
from .report import Report

TARGET_NODES = 4700
TARGET_RATE = 0.243
TARGET_CPU_PERCENT = 1.7
TARGET_MEMORY_MB = 64.0
TARGET_BYTES = 3000.0
# The page derives no bound for the time to learn a whole state; a newcomer is ready within the wait for peers.
TARGET_LEARN_SECONDS = 10.0
RATES = (0.0, TARGET_RATE, 2.0)
WINDOW_SECONDS = 17.0
QUICK_SECONDS = 8.0
READY_SECONDS = 60.0
SETTLE_SECONDS = 8.0
SERVICES, LEAFS = 324, 225
QUICK_SERVICES = 40
LEARN_FLEET = 4
# Each node chooses up to 8 peers and accepts about as many links; smaller fleets do not offer them and would add the
# growth of the number of links to the slopes.
SMALLEST_FITTED = 50
BYTES = re.compile(r"^yuccaspool_peer_bytes_(in|out)_total (\S+)$", re.MULTILINE)
QUANTITIES = ("cpu_percent", "memory_mb", "bytes_per_s")


def cpu_seconds(node: Node) -> float:
    fields = pathlib.Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(node: Node) -> float:
    pages = int(pathlib.Path(f"/proc/{node.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def peer_bytes(node: Node) -> Dict[str, float]:
    text = webclient.call("GET", node.spec.admin, "/metrics")[1].decode()
    return {direction: float(value) for direction, value in BYTES.findall(text)}


def snapshot(fleet: Fleet) -> List[Tuple[float, float, Dict[str, float]]]:
    return [(time.monotonic(), cpu_seconds(node), peer_bytes(node)) for node in fleet.nodes]


def publish_for(fleet: Fleet, rate: float, seconds: float) -> int:
    begin = time.monotonic()
    published = 0
    while time.monotonic() - begin < seconds:
        if rate and time.monotonic() - begin >= published / rate:
            fleet.publish_small()
            published += 1
        time.sleep(0.02)
    return published


def mean(values: List[float]) -> float:
    return sum(values) / len(values)


def measure_rate(fleet: Fleet, rate: float, seconds: float) -> Dict[str, Any]:
    before = snapshot(fleet)
    published = publish_for(fleet, rate, seconds)
    after = snapshot(fleet)
    spans = [(last[0] - first[0], first, last) for first, last in zip(before, after)]
    processor = [100 * (last[1] - first[1]) / span for span, first, last in spans]
    received = [(last[2]["in"] - first[2]["in"]) / span for span, first, last in spans]
    sent = [(last[2]["out"] - first[2]["out"]) / span for span, first, last in spans]
    memory = [memory_mb(node) for node in fleet.nodes]
    return {"nodes": len(fleet.nodes), "rate": published / seconds, "cpu_percent": mean(processor),
            "cpu_percent_max": max(processor), "memory_mb": mean(memory), "memory_mb_max": max(memory),
            "bytes_in_per_s": mean(received), "bytes_out_per_s": mean(sent),
            "bytes_per_s": mean(received) + mean(sent)}


def solve(matrix: List[List[float]], values: List[float]) -> Optional[List[float]]:
    """Gaussian elimination with pivots; none when the system is singular."""
    size = len(values)
    rows = [row[:] + [value] for row, value in zip(matrix, values)]
    for column in range(size):
        pivot = max(range(column, size), key=lambda index: abs(rows[index][column]))
        if abs(rows[pivot][column]) < 1e-12:
            return None
        rows[column], rows[pivot] = rows[pivot], rows[column]
        for index in range(size):
            if index != column:
                factor = rows[index][column] / rows[column][column]
                rows[index] = [left - factor * right for left, right in zip(rows[index], rows[column])]
    return [rows[index][size] / rows[index][index] for index in range(size)]


def fit(rows: List[Dict[str, Any]], quantity: str) -> Optional[List[float]]:
    """Least squares for base + slope of 1,000 nodes + slope of the ticket rate."""
    points = [[1.0, row["nodes"] / 1000, row["rate"]] for row in rows]
    values = [row[quantity] for row in rows]
    normal = [[sum(point[i] * point[j] for point in points) for j in range(3)] for i in range(3)]
    return solve(normal, [sum(point[i] * value for point, value in zip(points, values)) for i in range(3)])


def project(report: Report) -> None:
    bounds = dict(zip(QUANTITIES, (TARGET_CPU_PERCENT, TARGET_MEMORY_MB, TARGET_BYTES)))
    rows = [row for row in report.rows if "rate" in row and row["nodes"] >= SMALLEST_FITTED]
    for quantity, bound in bounds.items():
        slopes = fit(rows, quantity)
        if slopes is None:
            report.notes.append(f"{quantity}: no slope over the size; it takes two sizes from {SMALLEST_FITTED} nodes.")
            continue
        base, per_thousand, per_rate = slopes
        value = base + per_thousand * TARGET_NODES / 1000 + per_rate * TARGET_RATE
        report.notes.append(f"{quantity}: {base:.4g} + {per_thousand:.4g} for each 1,000 nodes + {per_rate:.4g} for "
                            "each ticket a second.")
        report.target(f"{quantity} projected to {TARGET_NODES} nodes and {TARGET_RATE} tickets/s", bound, value,
                      quantity)


def measure_size(report: Report, size: int, seconds: float) -> None:
    with Fleet(report.name, size) as fleet:
        fleet.start_all()
        ready = fleet.wait_ready(fleet.nodes, READY_SECONDS)
        report.target(f"{size} nodes: all ready after the start", 0, 0 if ready else 1, "nodes missing")
        time.sleep(SETTLE_SECONDS)
        report.rows += [measure_rate(fleet, rate, seconds) for rate in RATES]


def learn_state(report: Report, services: int) -> None:
    """One node learns a state of the target size from its peers while the service is down."""
    with Fleet(report.name, LEARN_FLEET) as fleet:
        for service in range(services):
            fleet.publish(deployment.target_service_ticket(fleet.head + 1, service, LEAFS))
        old, newcomer = fleet.nodes[:-1], fleet.nodes[-1]
        for node in old:
            node.start()
        known = fleet.wait_in_force(fleet.head, old, READY_SECONDS) and fleet.wait_ready(old, READY_SECONDS)
        case = f"{LEARN_FLEET} nodes, target state"
        report.target(f"{case}: peers have it and are ready", 0, 0 if known else 1, "nodes missing")
        time.sleep(SETTLE_SECONDS)
        fleet.service_mode("down")
        newcomer.start()
        wait_for(lambda: fleet.wait_ready([newcomer], 0), READY_SECONDS)
        seconds = (newcomer.log.first_ready() or float("inf")) - newcomer.started
        time.sleep(SETTLE_SECONDS)
        resident = [memory_mb(node) for node in fleet.nodes]
        report.rows.append({"nodes": LEARN_FLEET, "case": f"{services} services x {LEAFS} leafs",
                            "memory_mb": mean(resident), "memory_mb_max": max(resident), "learn_s": seconds,
                            "newcomer_memory_mb": resident[-1]})
        report.target(f"{case}: resident memory of a newcomer", TARGET_MEMORY_MB, resident[-1], "MB")
        report.target(f"{case}: time to learn it from a peer", TARGET_LEARN_SECONDS, seconds, "s")


def measure(report: Report, sizes: List[int], seed: int, quick: bool) -> None:
    del seed
    for size in sizes:
        measure_size(report, size, QUICK_SECONDS if quick else WINDOW_SECONDS)
    learn_state(report, QUICK_SERVICES if quick else SERVICES)


def conclude(report: Report) -> None:
    project(report)
    report.rows.sort(key=lambda row: row["nodes"])
    report.notes.append("Bytes are payloads of frames between peers, in and out together, without TCP, WebSocket "
                        "headers and the platform's calls. Processor time is that of the whole process without callers.")
    report.notes.append("A projection from some hundred nodes to 4,700 is linear and outside the measured range.")
