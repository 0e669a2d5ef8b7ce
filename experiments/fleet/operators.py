"""Time and completeness of the answer to which ticket is in force on which node."""

import random
import signal
import subprocess
import time
from typing import Any, Dict, List, Set

from .processes import BIN, ROOT, Fleet, Node
from .report import Report, percentile

ANSWER_SECONDS = 4.0
QUESTIONS = 6
QUICK_QUESTIONS = 3
STOPPED_SHARE = 0.1
READY_SECONDS = 60.0
SETTLE_SECONDS = 5.0
# An answer is reused for 1 s; the pause makes every question a collection of its own.
PAUSE_SECONDS = 1.2
COMMAND_TIMEOUT = 30.0


def ask(node: Node, number: int) -> Dict[str, Any]:
    command = [str(BIN / "yuccaspoolctl"), "in-force", "--node", node.spec.admin, "--ticket", str(number)]
    begin = time.monotonic()
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=COMMAND_TIMEOUT, check=False)
    seconds = time.monotonic() - begin
    return {"seconds": seconds, "code": result.returncode, "rows": rows_of(result.stdout)}


def rows_of(text: str) -> Dict[str, List[str]]:
    """Table rows by host."""
    rows = [line.split() for line in text.splitlines()]
    return {row[0]: row for row in rows if row and row[0].startswith("node-")}


def unheard(rows: Dict[str, List[str]]) -> Set[str]:
    return {host for host, row in rows.items() if "false" in row or "no" in row}


def errors(fleet: Fleet, answer: Dict[str, Any], stopped: Set[str]) -> int:
    """Nodes that are missing, wrongly listed as not heard, or wrongly listed as heard."""
    hosts = {node.spec.host for node in fleet.nodes}
    return len(hosts - set(answer["rows"])) + len(unheard(answer["rows"]) ^ stopped)


def ask_series(report: Report, fleet: Fleet, case: str, askers: List[Node], stopped: Set[str]) -> None:
    answers = []
    for node in askers:
        time.sleep(PAUSE_SECONDS)
        answers.append(ask(node, fleet.head))
    size = len(fleet.nodes)
    seconds = [answer["seconds"] for answer in answers]
    wrong = sum(errors(fleet, answer, stopped) for answer in answers)
    wrong_code = sum(1 for answer in answers if (answer["code"] == 0) != (not stopped))
    report.rows.append({"nodes": size, "case": case, "questions": len(answers), "p50_s": percentile(seconds, 0.5),
                        "max_s": max(seconds), "not_heard": len(unheard(answers[-1]["rows"])), "stopped": len(stopped),
                        "wrong_rows": wrong, "wrong_exit_codes": wrong_code})
    report.target(f"{size} nodes, {case}: time of the slowest answer", ANSWER_SECONDS, max(seconds), "s")
    report.target(f"{size} nodes, {case}: wrong rows", 0, wrong, "rows")
    report.target(f"{size} nodes, {case}: wrong exit codes", 0, wrong_code, "answers")


def measure_size(report: Report, size: int, randomness: random.Random, questions: int) -> None:
    with Fleet(report.name, size) as fleet:
        fleet.start_all()
        fleet.publish_small()
        ready = fleet.wait_ready(fleet.nodes, READY_SECONDS)
        ready = ready and fleet.wait_in_force(fleet.head, fleet.nodes, READY_SECONDS)
        report.target(f"{size} nodes: all ready after the start", 0, 0 if ready else 1, "nodes missing")
        time.sleep(SETTLE_SECONDS)
        ask_series(report, fleet, "all running", randomness.choices(fleet.nodes, k=questions), set())
        stopped = randomness.sample(fleet.nodes, max(1, round(size * STOPPED_SHARE)))
        for node in stopped:
            node.signal(signal.SIGSTOP)
        running = [node for node in fleet.nodes if node not in stopped]
        names = {node.spec.host for node in stopped}
        ask_series(report, fleet, "10 % stopped", randomness.choices(running, k=questions), names)


def measure(report: Report, sizes: List[int], seed: int, quick: bool) -> None:
    randomness = random.Random(seed)
    for size in sizes:
        measure_size(report, size, randomness, QUICK_QUESTIONS if quick else QUESTIONS)


def conclude(report: Report) -> None:
    report.rows.sort(key=lambda row: row["nodes"])
