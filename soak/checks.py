"""What has to hold for answers, executions and tickets in force. Works on records alone, without processes."""

from __future__ import annotations

import json
import math
import pathlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Dict, Iterable, List, Optional, Set, Tuple

from soak.client import Exchange
from soak.trace import Trace

LATE_SLACK_S = 0.1
DRAIN_LIMIT_MS = 3000
OUTCOMES = {200: {"answered"}, 504: {"unknown"}, 503: {"not_run"}, 400: {"not_run"}, 404: {"not_run"}}


@dataclass(frozen=True)
class Question:
    caller: str
    service: str
    terms: Tuple[str, ...]
    limit: int


class Tickets:
    """The state of each service after each published ticket, as the tickets declare it."""

    def __init__(self) -> None:
        self.head = 0
        self.layouts: Dict[str, List[Tuple[int, Dict[int, Dict[int, int]]]]] = {}

    def publish(self, number: int, valid: bool, objects: Iterable[Dict[str, Any]]) -> None:
        self.head = max(self.head, number)
        if not valid:
            return
        for entry in objects:
            if entry["kind"] == "service":
                weights = {layout["layout"]: {shard["shard"]: shard["weight"] for shard in layout["shards"]}
                           for layout in entry["state"]["layouts"]}
                self.layouts.setdefault(entry["name"], []).append((number, weights))
                self.layouts[entry["name"]].sort(key=lambda row: row[0])

    def weights(self, service: str, layout: int, ticket: int) -> Optional[Dict[int, int]]:
        """Weights of the shards of a layout, as of a ticket."""
        state: Dict[int, Dict[int, int]] = {}
        for number, layouts in self.layouts.get(service, []):
            if number <= ticket:
                state = layouts
        return state.get(layout)


@dataclass
class IdRecord:
    service: str
    key: str
    outcomes: List[Tuple[float, str, str]] = field(default_factory=list)  # time, outcome, result


class Checker:
    def __init__(self, trace: Trace, tickets: Tickets, callers: Dict[str, Any]) -> None:
        self.trace = trace
        self.tickets = tickets
        self.callers = callers
        self.versions: Dict[str, Set[int]] = {}
        self.complete: Dict[Tuple[Question, int], Tuple[Any, ...]] = {}
        self.ids: Dict[str, IdRecord] = {}
        self.in_force: Dict[Tuple[str, str], int] = {}
        self.counts: Counter = Counter()

    def fail(self, when: float, name: str, detail: str) -> None:
        self.trace.violation(when, name, detail)

    def answer(self, exchange: Exchange, excused_late: bool, lag_s: float) -> None:
        """Checks that hold for every reply of a daemon to a caller."""
        outcome = exchange.reply.get("outcome")
        if outcome not in OUTCOMES.get(exchange.status, set()):
            self.fail(exchange.ended, "reply_form", f"{exchange.host} {exchange.kind} status={exchange.status} "
                                                    f"reply={json.dumps(exchange.reply)[:300]}")
        self.counts[f"{exchange.kind}_{outcome}"] += 1
        if "reason" in exchange.reply:
            self.counts[f"{exchange.kind}_{outcome}_{exchange.reply['reason']}"] += 1
        late = exchange.ended - exchange.sent - exchange.deadline_s
        self.counts["late_for_a_core"] += LATE_SLACK_S < late <= LATE_SLACK_S + lag_s
        if late > LATE_SLACK_S + lag_s:
            self.counts["late_excused" if excused_late else "late"] += 1
            if not excused_late:
                self.fail(exchange.ended, "late_reply", f"{exchange.host} {exchange.kind} {outcome} "
                                                        f"{late * 1000:.0f} ms after the deadline of "
                                                        f"{exchange.deadline_s * 1000:.0f} ms; waits for a core "
                                                        f"{lag_s * 1000:.0f} ms")

    def lookup(self, exchange: Exchange, question: Question) -> None:
        reply = exchange.reply
        if reply.get("outcome") != "answered":
            return
        try:
            problem = self.lookup_problem(reply, question)
        except (KeyError, TypeError) as error:
            problem = f"field missing or of a wrong type: {error!r}"
        if problem:
            self.fail(exchange.ended, "lookup_answer", f"{exchange.host} {question}: {problem}; "
                                                       f"reply={json.dumps(reply)[:600]}")

    def lookup_problem(self, reply: Dict[str, Any], question: Question) -> str:
        snapshot, coverage, hits = reply["snapshot"], reply["coverage"], reply["hits"]
        version = snapshot["index_version"]
        if snapshot["service"] != question.service:
            return "another service"
        if snapshot["ticket"] > self.tickets.head:
            return "the ticket is not published"
        if version not in self.versions.get(question.service, set()):
            return "the index version was never added"
        weights = self.tickets.weights(question.service, snapshot["layout"], snapshot["ticket"])
        if weights is None:
            return "the ticket does not declare the layout"
        return (self.coverage_problem(coverage, weights, question) or hits_problem(hits, version, question)
                or shards_problem(hits, coverage, weights) or self.repeat_problem(reply, question, version))

    def coverage_problem(self, coverage: Dict[str, Any], weights: Dict[int, int], question: Question) -> str:
        covered, total = coverage["covered"], coverage["total"]
        self.counts["complete"] += coverage["complete"]
        if total != sum(weights.values()):
            return f"total is not the declared weight {sum(weights.values())}"
        if not 0 <= covered <= total or not math.isclose(coverage["fraction"], covered / total, abs_tol=1e-9):
            return "the fraction differs from covered/total"
        if coverage["complete"] != (covered == total):
            return "complete differs from covered = total"
        if not subset_sum(covered, weights.values()):
            return "no set of shards has the covered weight"
        if coverage["fraction"] < self.callers[question.caller]["min_coverage"]:
            return "answered below the caller's min_coverage"
        return ""

    def repeat_problem(self, reply: Dict[str, Any], question: Question, version: int) -> str:
        """Content depends on the version alone: complete answers agree, in all layouts and from all replicas."""
        if not reply["coverage"]["complete"]:
            return ""
        content = tuple((hit["document"], round(hit["score"], 6)) for hit in reply["hits"])
        known = self.complete.setdefault((question, version), content)
        return "" if known == content else f"differs from an earlier complete answer: {known[:10]}"

    def execution_reply(self, exchange: Exchange, request_id: str) -> None:
        outcome = str(exchange.reply.get("outcome"))
        result = json.dumps(exchange.reply.get("result"), sort_keys=True)
        self.ids[request_id].outcomes.append((exchange.ended, outcome, result))

    def status(self, when: float, host: str, status: Dict[str, Any]) -> None:
        key = (host, str(status["incarnation"]))
        before = self.in_force.get(key, 0)
        if status["in_force"] < before:
            self.fail(when, "in_force_reverted", f"{host} from {before} to {status['in_force']}")
        if status["in_force"] > self.tickets.head:
            self.fail(when, "in_force_unpublished", f"{host} {status['in_force']} above {self.tickets.head}")
        if status.get("broken_invariants", 0) != 0:
            self.fail(when, "broken_invariant", f"{host} reports {status['broken_invariants']}")
        self.in_force[key] = max(before, status["in_force"])

    def draining(self, when: float, server: str, stats: Dict[str, Any], excused: bool) -> None:
        """New work of a server that has been leaving for longer than the limit."""
        for leaf, row in stats.get("leafs", {}).items():
            self.counts["drains_excused" if excused else "drains_checked"] += 1
            if row["last_after_draining_ms"] > DRAIN_LIMIT_MS and not excused:
                self.fail(when, "work_for_leaving_server",
                          f"{server} {leaf} {row['last_after_draining_ms']} ms after it began to drain")

    def executions(self, rows: Iterable[Tuple[str, str, float]]) -> None:
        """Compares the execution logs with the replies. Rows: request id, server, time."""
        ran: Dict[str, List[Tuple[str, float]]] = {}
        for request_id, server, when in rows:
            ran.setdefault(request_id, []).append((server, when))
        self.counts["executions"] = sum(len(entries) for entries in ran.values())
        for request_id, entries in ran.items():
            if len(entries) > 1:
                self.fail(entries[1][1], "executed_twice", f"{request_id} {entries}")
            if request_id not in self.ids:
                self.fail(entries[0][1], "executed_unasked", f"{request_id} {entries}")
        for request_id, record in self.ids.items():
            self.check_id(request_id, record, ran.get(request_id, []))

    def check_id(self, request_id: str, record: IdRecord, ran: List[Tuple[str, float]]) -> None:
        first: Dict[str, float] = {}
        results = set()
        for when, outcome, result in record.outcomes:
            first.setdefault(outcome, when)
            if outcome == "answered":
                results.add(result)
        if "answered" in first and "not_run" in first:
            self.fail(max(first["answered"], first["not_run"]), "replies_disagree", f"{request_id} {record.outcomes}")
        if "not_run" in first and ran:
            self.fail(max(first["not_run"], ran[0][1]), "executed_and_not_run", f"{request_id} {ran} "
                                                                                f"{record.outcomes}")
        if "answered" in first and not ran:
            self.fail(first["answered"], "answered_without_execution", f"{request_id} {record.outcomes}")
        if len(results) > 1:
            self.fail(first["answered"], "results_differ", f"{request_id} {results}")


def closing_reason(exchange: Exchange, kills: List[float], drains: List[float], starts: List[float]) -> str:
    """Why a connection may have closed without a reply: killed, drained, or other, which is a violation."""
    # A connection that began before a kill ends with it, also when its end is noticed after a request was sent.
    if any(exchange.connecting <= moment <= exchange.ended for moment in kills):
        return "killed"
    for drain in drains:
        if drain <= exchange.sent and not any(drain < start <= exchange.sent for start in starts):
            return "drained"
    return "other"


def hits_problem(hits: List[Dict[str, Any]], version: int, question: Question) -> str:
    documents = [hit["document"] for hit in hits]
    ranks = [(-hit["score"], hit["document"]) for hit in hits]
    if len(hits) > question.limit:
        return "more hits than asked for"
    if len(set(documents)) != len(documents):
        return "a document twice"
    if ranks != sorted(ranks):
        return "hits out of order"
    for hit in hits:
        if hit["fields"]["version"] != version:
            return f"hit of version {hit['fields']['version']}"
        if not set(question.terms) & {value for value in hit["fields"].values() if isinstance(value, str)}:
            return f"hit {hit['document']} has none of the terms"
        if not hit["document"].startswith(question.service + "-"):
            return f"hit {hit['document']} is of another service"
    return ""


def shards_problem(hits: List[Dict[str, Any]], coverage: Dict[str, Any], weights: Dict[int, int]) -> str:
    shards = {hit["fields"]["shard"] for hit in hits}
    if not shards <= set(weights):
        return "a hit of a shard that the layout does not have"
    return "" if sum(weights[shard] for shard in shards) <= coverage["covered"] else "hits of shards not covered"


def subset_sum(target: int, weights: Iterable[int]) -> bool:
    reachable = 1
    for weight in weights:
        reachable |= reachable << weight
    return bool(reachable >> target & 1)


def read_executions(folder: pathlib.Path) -> Iterable[Tuple[str, str, float]]:
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text().splitlines():
            row = json.loads(line)
            yield row["request"], path.stem, row["time_us"] / 1e6
