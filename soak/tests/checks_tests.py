#!/usr/bin/env python3
"""The soak's own checks, on records made with a fixed seed: no processes, no network.

A check that passes wrong answers would make every run succeed, so each one is given a correct record and the same
record with one fault.
"""

import copy
import json
import pathlib
import random
import signal
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))
sys.dont_write_bytecode = True

from soak import checks, deployment, faults, trace  # noqa: E402
from soak.client import Connection, Exchange  # noqa: E402
from soak.process import Process  # noqa: E402

SEED = 20261204
SHARDS = 6
QUESTION = checks.Question("screen", "kiosk", ("cr2032", "machine-1"), 5)


def service_object(layouts):
    return {"kind": "service", "name": "kiosk", "state": {"layouts": [
        {"layout": layout, "shards": [{"shard": shard, "weight": 10 + 3 * shard} for shard in range(count)]}
        for layout, count in layouts]}}


def make_checker():
    tickets = checks.Tickets()
    tickets.publish(1, True, [service_object([(1, SHARDS)])])
    tickets.publish(2, False, [])
    tickets.publish(3, True, [service_object([(1, SHARDS), (2, 3)])])
    tickets.publish(4, True, [service_object([(2, 3)])])
    checker = checks.Checker(trace.Trace(), tickets, {"screen": {"min_coverage": 0.5}})
    checker.versions = {"kiosk": {1, 2}}
    return checker


def make_reply(source):
    """A complete answer over layout 1 as of ticket 3."""
    total = sum(10 + 3 * shard for shard in range(SHARDS))
    hits = [{"document": f"kiosk-{source.randrange(1000)}-{index}", "score": 9.0 - index,
             "fields": {"size": "cr2032", "machine": f"machine-{index}", "version": 2,
                        "shard": source.randrange(SHARDS)}}
            for index in range(5)]
    return {"outcome": "answered", "hits": hits,
            "coverage": {"covered": total, "total": total, "fraction": 1.0, "complete": True},
            "snapshot": {"service": "kiosk", "layout": 1, "index_version": 2, "ticket": 3}}


def exchange_of(reply, status=200, seconds=0.1):
    return Exchange("entry-1", "lookup", sent=100.0, ended=100.0 + seconds, deadline_s=1.0, status=status, reply=reply)


class LookupTest(unittest.TestCase):
    def setUp(self):
        self.source = random.Random(SEED)

    def problems(self, change):
        checker = make_checker()
        reply = make_reply(self.source)
        change(reply)
        checker.lookup(exchange_of(reply), QUESTION)
        return [row.detail for row in checker.trace.violations]

    def test_correct_answers_pass(self):
        for _ in range(200):
            self.assertEqual(self.problems(lambda reply: None), [])

    def test_partial_answers_pass(self):
        def partial(reply):
            reply["hits"] = [dict(hit, fields=dict(hit["fields"], shard=5)) for hit in reply["hits"]]
            reply["coverage"].update(covered=92, fraction=92 / 105, complete=False)
        self.assertEqual(self.problems(partial), [])

    def test_each_wrong_field_is_found(self):
        changes = {
            "total": lambda r: r["coverage"].update(total=104, covered=104),
            "fraction": lambda r: r["coverage"].update(fraction=0.99),
            "complete": lambda r: r["coverage"].update(complete=False),
            "complete of partial": lambda r: r["coverage"].update(covered=92, fraction=92 / 105),
            "impossible weight": lambda r: r["coverage"].update(covered=104, fraction=104 / 105, complete=False),
            "below min_coverage": lambda r: (r.update(hits=[]), r["coverage"].update(
                covered=13, fraction=13 / 105, complete=False)),
            "hits not covered": lambda r: ([hit["fields"].update(shard=5 - index) for index, hit in
                                            enumerate(r["hits"])],
                                           r["coverage"].update(covered=64, fraction=64 / 105, complete=False)),
            "service": lambda r: r["snapshot"].update(service="fitter"),
            "unpublished ticket": lambda r: r["snapshot"].update(ticket=5),
            "layout of another ticket": lambda r: r["snapshot"].update(ticket=4),
            "layout not declared": lambda r: r["snapshot"].update(layout=2, ticket=1),
            "version never added": lambda r: r["snapshot"].update(index_version=3),
            "hit of another version": lambda r: r["hits"][2]["fields"].update(version=1),
            "hit of another question": lambda r: r["hits"][2]["fields"].update(size="za10", machine="machine-7"),
            "hit of another service": lambda r: r["hits"][2].update(document="fitter-1"),
            "document twice": lambda r: r["hits"][1].update(document=r["hits"][0]["document"]),
            "order": lambda r: r["hits"].reverse(),
            "too many hits": lambda r: r["hits"].append(dict(r["hits"][4], document="kiosk-x", score=1.0)),
            "unknown shard": lambda r: r["hits"][0]["fields"].update(shard=SHARDS),
            "missing field": lambda r: r.pop("snapshot"),
        }
        for name, change in changes.items():
            with self.subTest(name):
                self.assertEqual(len(self.problems(change)), 1)

    def test_complete_answers_have_to_agree(self):
        checker = make_checker()
        reply = make_reply(self.source)
        checker.lookup(exchange_of(reply), QUESTION)
        checker.lookup(exchange_of(copy.deepcopy(reply)), QUESTION)
        self.assertEqual(checker.trace.violations, [])
        other = copy.deepcopy(reply)
        other["hits"].pop()
        checker.lookup(exchange_of(other), QUESTION)
        self.assertEqual(len(checker.trace.violations), 1)

    def test_late_replies(self):
        for seconds, lag, excused, expected in [(1.09, 0, False, 0), (1.2, 0, False, 1), (1.2, 0.15, False, 0),
                                                (9.0, 0, True, 0)]:
            checker = make_checker()
            checker.answer(exchange_of(make_reply(self.source), seconds=seconds), excused, lag)
            self.assertEqual(len(checker.trace.violations), expected, (seconds, lag, excused))

    def test_status_and_outcome_have_to_agree(self):
        for status, outcome, expected in [(200, "answered", 0), (503, "answered", 1), (504, "unknown", 0),
                                          (500, "unknown", 1), (200, "not_run", 1), (404, "not_run", 0)]:
            checker = make_checker()
            checker.answer(exchange_of({"outcome": outcome}, status=status), False, 0)
            self.assertEqual(len(checker.trace.violations), expected, (status, outcome))


class ExecutionTest(unittest.TestCase):
    def names(self, replies, rows):
        checker = make_checker()
        checker.ids["a"] = checks.IdRecord("refill", "key")
        for moment, (outcome, result) in enumerate(replies):
            exchange = Exchange("entry-1", "execute", ended=float(moment), reply={"outcome": outcome, "result": result})
            checker.execution_reply(exchange, "a")
        checker.executions(rows)
        return [row.name for row in checker.trace.violations]

    def test_executions_against_replies(self):
        once, twice = [("a", "s1", 1.0)], [("a", "s1", 1.0), ("a", "s2", 2.0)]
        cases = [
            ([("answered", 1), ("answered", 1), ("unknown", None)], once, []),
            ([("unknown", None)], once, []),
            ([("unknown", None), ("not_run", None)], [], []),
            ([], [], []),
            ([("answered", 1)], twice, ["executed_twice"]),
            ([("unknown", None)], twice, ["executed_twice"]),
            ([("not_run", None)], once, ["executed_and_not_run"]),
            ([("answered", 1)], [], ["answered_without_execution"]),
            ([("answered", 1), ("answered", 2)], once, ["results_differ"]),
            ([("answered", 1), ("not_run", None)], once, ["replies_disagree", "executed_and_not_run"]),
            ([("not_run", None), ("answered", 1)], [], ["replies_disagree", "answered_without_execution"]),
            ([], [("b", "s1", 1.0)], ["executed_unasked"]),
        ]
        for replies, rows, expected in cases:
            self.assertEqual(self.names(replies, rows), expected, (replies, rows))

    def test_execution_logs_are_read(self):
        with tempfile.TemporaryDirectory() as folder:
            row = {"request": "a", "attempt": "1", "key": "k", "time_us": 2_000_000}
            (pathlib.Path(folder) / "s1.log").write_text(json.dumps(row) + "\n")
            self.assertEqual(list(checks.read_executions(pathlib.Path(folder))), [("a", "s1", 2.0)])


class StatusTest(unittest.TestCase):
    def test_in_force_never_decreases_within_an_incarnation(self):
        checker = make_checker()
        for incarnation, number in [("x", 2), ("x", 3), ("y", 1), ("y", 4)]:
            checker.status(0.0, "entry-1", {"incarnation": incarnation, "in_force": number, "broken_invariants": 0})
        self.assertEqual(checker.trace.violations, [])
        checker.status(1.0, "entry-1", {"incarnation": "y", "in_force": 3, "broken_invariants": 0})
        self.assertEqual([row.name for row in checker.trace.violations], ["in_force_reverted"])

    def test_unpublished_tickets_and_broken_invariants(self):
        checker = make_checker()
        checker.status(1.0, "entry-1", {"incarnation": "y", "in_force": 5, "broken_invariants": 1})
        self.assertEqual([row.name for row in checker.trace.violations], ["in_force_unpublished", "broken_invariant"])

    def test_leaving_servers(self):
        for last, excused, expected in [(2999, False, 0), (3001, False, 1), (3001, True, 0)]:
            checker = make_checker()
            stats = {"leafs": {"kiosk-0": {"last_after_draining_ms": last}}}
            checker.draining(0.0, "server", stats, excused)
            self.assertEqual(len(checker.trace.violations), expected)


class ClientTest(unittest.TestCase):
    def test_bytes_without_a_request_are_reported(self):
        """Guards against a second reply to one request going unnoticed."""
        found = []
        connection = Connection(found.append)
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        self.assertEqual(len(found), 1)


class ProcessTest(unittest.TestCase):
    def violations(self, code, killed, stopping):
        class Child:
            returncode = code

            def poll(self):
                return code

        events = trace.Trace()
        process = Process("entry-1", [], pathlib.Path("."), events)
        process.child, process.killed, process.stopping = Child(), killed, stopping
        process.reap()
        return len(events.violations)

    def test_ends_of_processes(self):
        kill, term, abort = -signal.SIGKILL, -signal.SIGTERM, -signal.SIGABRT
        cases = [(0, False, True, 0), (kill, True, False, 0), (kill, True, True, 0), (0, True, True, 0),
                 (0, False, False, 1), (1, False, True, 1), (term, False, True, 1), (abort, False, False, 1),
                 (abort, True, False, 1), (abort, True, True, 1), (kill, False, False, 1)]
        for code, killed, stopping, expected in cases:
            self.assertEqual(self.violations(code, killed, stopping), expected, (code, killed, stopping))


    def test_waits_for_a_core_count_only_in_their_interval(self):
        """Guards against late replies that are excused by waits at another time."""
        process = Process("entry-1", [], pathlib.Path("."), trace.Trace())
        process.delays = [(1.0, 1.1, 0.05), (1.1, 1.2, 0.5), (5.0, 5.1, 0.02)]
        self.assertAlmostEqual(process.delay_during(1.05, 1.15), 0.15)  # a wait is at most as long as its sample
        self.assertAlmostEqual(process.delay_during(4.0, 6.0), 0.02)
        self.assertEqual(process.delay_during(2.0, 4.0), 0.0)

    def test_pauses_and_kills_count_only_in_their_interval(self):
        process = Process("entry-1", [], pathlib.Path("."), trace.Trace())
        process.pauses, process.kills = [(2.0, 3.0)], [7.0]
        self.assertTrue(process.paused_during(2.9, 4.0))
        self.assertFalse(process.paused_during(3.1, 6.0))
        self.assertTrue(process.killed_during(6.5, 7.5))
        self.assertFalse(process.killed_during(7.1, 9.0))


class ClosedTest(unittest.TestCase):
    def test_reasons_of_closed_connections(self):
        """Guards against a lost reply that is excused by a kill or a stop at another time."""
        cases = [
            ("killed", [10.5], [], []), ("killed", [9.5], [], []),  # during the request; before, on its connection
            ("other", [8.5], [], []), ("other", [11.5], [], []),  # before the connection; after its end
            ("drained", [], [9.9], [1.0]), ("other", [], [10.5], [1.0]),  # before and after the request was sent
            ("other", [], [8.0], [9.0]), ("other", [], [], []),  # an earlier run; no reason at all
        ]
        for expected, kills, drains, starts in cases:
            exchange = Exchange("entry-1", "lookup", connecting=9.0, sent=10.0, ended=11.0, failure="closed")
            self.assertEqual(checks.closing_reason(exchange, kills, drains, starts), expected, (kills, drains, starts))


class PlanTest(unittest.TestCase):
    def test_a_seed_gives_one_plan(self):
        plans = [faults.plan_round(random.Random(SEED), 60.0) for _ in range(2)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], faults.plan_round(random.Random(SEED + 1), 60.0))

    def test_every_kind_is_planned_and_known(self):
        plan = faults.forced_round(random.Random(SEED), 30.0)
        self.assertEqual({fault.kind for fault in plan}, {row[0] for row in faults.KINDS})
        for fault in plan + faults.plan_round(random.Random(SEED), 600.0):
            low, high = next((row[2], row[3]) for row in faults.KINDS if row[0] == fault.kind)
            self.assertTrue(low <= fault.seconds <= high + 1e-9, fault)
            self.assertTrue(hasattr(faults.Injector, f"do_{fault.kind}"), fault.kind)


class DeploymentTest(unittest.TestCase):
    def test_addresses_do_not_overlap_and_layouts_fit(self):
        made = deployment.build(ROOT / "run" / "soak-test", "127.30")
        state = deployment.service_state(made, "kiosk", [1, 2])
        points = [(leaf["address"], leaf["port"]) for service in made.services.values() for part in service.values()
                  for leaf in part["leafs"]]
        self.assertEqual(len(points), len(set(points)))
        self.assertTrue(all(address.startswith("127.30.") for address, _ in points))
        self.assertEqual([layout["layout"] for layout in state["layouts"]], [1, 2])
        self.assertEqual(len({leaf["leaf"] for leaf in state["leafs"]}), len(state["leafs"]))


if __name__ == "__main__":
    unittest.main()
