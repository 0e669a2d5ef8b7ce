"""Checks of the driver's own calculations; no processes are started."""

import math
import pathlib
import unittest

from driver import census, evaluate, layout, measure, report, rest, runner, spec

REQUEST = {"kind": "execute", "attempts": 1, "outcome": "answered", "told": ["answered"]}


def run_of(variant: str, **figures: float) -> dict:
    return {"variant": variant, "figures": figures}


def target(**changes: object) -> spec.Target:
    given = dict(text="t", metric="m", variant="a", relation="<=", limit=2.0, over_seeds="max")
    return spec.Target(**(given | changes))


class Executions(unittest.TestCase):
    # Guards against duplicates and false "not run" replies that the comparison would overlook.
    def test_finds_duplicates_and_false_not_run(self) -> None:
        requests = [dict(REQUEST, id="once"), dict(REQUEST, id="twice"), dict(REQUEST, id="never"),
                    dict(REQUEST, id="denied", told=["not_run"], outcome="not_run"),
                    dict(REQUEST, id="changed", told=["not_run", "answered"], attempts=2),
                    dict(REQUEST, id="open", told=["unknown"], outcome="unknown"),
                    dict(REQUEST, id="", outcome="no_reply", told=[])]
        figures = measure.compare_executions(requests, ["once", "twice", "twice", "denied", "changed", "open"])
        expected = {"ids": 6, "executions": 6, "duplicates": 1, "not_run_but_ran": 2, "answered_but_not_ran": 1,
                    "contradictions": 1, "final_unknown": 1, "unknown_and_ran": 1, "no_verdict": 0, "resent_ids": 1}
        self.assertEqual({name: figures[name] for name in expected}, expected)
        self.assertAlmostEqual(figures["unknown_percent"], 100 / 6)


class Coverage(unittest.TestCase):
    weights = {("s", 1): {0: 1, 1: 3}}

    def check(self, fraction: float, shards: list[int], version: int = 1) -> census.Tally:
        tally = census.Tally()
        hits = [{"document": str(shard), "fields": {"shard": shard, "version": version}} for shard in shards]
        answer = {"snapshot": {"layout": 1, "index_version": 1}, "hits": hits,
                  "coverage": {"fraction": fraction, "complete": fraction == 1}}
        census.check(answer, self.weights, "s", 2, tally)
        return tally

    # Guards against a check of coverage that passes for any report.
    def test_compares_report_with_hits(self) -> None:
        self.assertEqual(self.check(0.75, [1]).wrong_coverage, 0)
        self.assertEqual(self.check(0.25, [1]).wrong_coverage, 1)
        self.assertEqual(self.check(1, [0, 1]).wrong_coverage, 0)
        self.assertEqual(self.check(1, [1]).wrong_coverage, 1)
        self.assertEqual(self.check(1, [1]).incomplete_hits, 1)
        self.assertEqual(self.check(1, [0, 1], version=2).mixed_snapshots, 1)


class Targets(unittest.TestCase):
    # Guards against a miss that is reported as met: by the wrong seed, a missing figure, or no number.
    def test_judges(self) -> None:
        runs = [run_of("a", m=1.0), run_of("a", m=3.0), run_of("b", m=1.0)]
        self.assertFalse(evaluate.judge(target(), runs).met)
        self.assertTrue(evaluate.judge(target(over_seeds="median"), runs).met)
        self.assertTrue(evaluate.judge(target(relation=">=", over_seeds="sum", limit=4.0), runs).met)
        self.assertFalse(evaluate.judge(target(metric="absent"), runs).met)
        self.assertFalse(evaluate.judge(target(), [run_of("a", m=math.nan)]).met)

    # Guards against a relative target that uses its own variant as the reference.
    def test_judges_relative_to_another_variant(self) -> None:
        runs = [run_of("a", m=3.0), run_of("b", m=1.0)]
        self.assertFalse(evaluate.judge(target(of="b"), runs).met)
        verdict = evaluate.judge(target(of="b", limit=3.0), runs)
        self.assertEqual((verdict.limit, verdict.met), (3.0, True))

    def test_summaries_have_median_and_spread(self) -> None:
        runs = [run_of("a", m=value) for value in (5.0, 1.0, 2.0)]
        self.assertEqual(evaluate.summaries(runs)["a"]["m"], {"median": 2.0, "min": 1.0, "max": 5.0})
        self.assertIn("2 (1 to 5)", "\n".join(report.table(evaluate.summaries(runs), ("m",))))


class Figures(unittest.TestCase):
    # Guards against extra load that is computed from totals instead of the change during the run.
    def test_extra_load_is_of_the_change(self) -> None:
        before = {"leaf_first_attempts_total": 100, "leaf_hedges_total": 50}
        after = {"leaf_first_attempts_total": 300, "leaf_hedges_total": 54, "leaf_retries_total": 2}
        self.assertAlmostEqual(measure.of_counters(before, after)["extra_load_percent"], 3.0)

    def test_metrics_are_summed_over_labels(self) -> None:
        text = '# TYPE x counter\nyuccaspool_x{a="1"} 2\nyuccaspool_x{a="2"} 3\n'
        self.assertEqual(rest.parse_metrics(text), {"x": 5.0})

    # Guards against a recovery that is counted from the wrong moment, or never found but reported as met.
    def test_phases(self) -> None:
        def rows(recovered_at: float) -> list[dict]:
            slow = [second / 2 for second in range(40)]
            return [{"at_s": at, "answered": 50 if at < 5 or at >= recovered_at else 5} for at in slow]

        figures = measure.of_phases(rows(16.5), 5, 15)
        self.assertEqual((figures["goodput_before"], figures["goodput_slow"], figures["recovery_s"]), (100, 10, 1.5))
        self.assertEqual(measure.of_phases(rows(99), 5, 15)["recovery_s"], math.inf)


    # Guards against errors that are excused although a replica was left.
    def test_errors_outside_the_window_count(self) -> None:
        requests = [{"at_ms": at, "outcome": outcome} for at, outcome in
                    ((900, "unknown"), (1000, "unknown"), (1999, "not_run"), (2000, "not_run"), (2500, "answered"))]
        self.assertEqual(measure.answered_outside(requests, [[1, 2]]), {"errors_with_replica": 2})


class Files(unittest.TestCase):
    def test_experiment_files_are_valid(self) -> None:
        spec.FOLDER = pathlib.Path(__file__).resolve().parents[2]
        self.assertGreaterEqual(len(spec.names()), 6)
        for name in spec.names():
            experiment = spec.load(name)
            self.assertEqual(experiment.targets, spec.quick(experiment).targets)

    def test_wrong_files_are_refused(self) -> None:
        text = (pathlib.Path(__file__).resolve().parents[2] / "cost.json").read_text()
        for old, new in (("127.15", "127.1"), ('"<="', '"<"'), ('"question"', '"unknown_key"')):
            with self.assertRaises(spec.SpecError):
                spec.parse(text.replace(old, new, 1), "test")

    # Guards against runs that cannot be repeated, and against two faults on one host at a time.
    def test_random_faults_repeat_by_seed_and_do_not_overlap(self) -> None:
        entry = {"do": "random", "from_s": 0, "to_s": 60, "every_s": 0.5,
                 "choices": [{"do": "pause_host", "for_s": [1, 20]}, {"do": "cut_connections"}]}
        hosts = ["h1", "h2", "h3"]
        faults = spec.expand_faults((entry,), 7, hosts, ["s"])
        self.assertEqual(faults, spec.expand_faults((entry,), 7, hosts, ["s"]))
        self.assertNotEqual(faults, spec.expand_faults((entry,), 8, hosts, ["s"]))
        free: dict[str, float] = {}
        for fault in (fault for fault in faults if fault.do == "pause_host"):
            self.assertNotEqual(fault.target, "h1")
            self.assertGreaterEqual(fault.at_s, free.get(fault.target, 0.0))
            free[fault.target] = fault.at_s + fault.values["for_s"]

    # Guards against results that cannot be written because a variant's name holds a slash.
    def test_variant_names_become_file_names(self) -> None:
        self.assertEqual(runner.file_name("20 lookups/s"), "20-lookups-s")

    # Guards against a title with an apostrophe, which ended the plot after a whole run.
    def test_titles_are_quoted(self) -> None:
        self.assertEqual(report.quote("the leafs' own"), "the leafs'' own")

    def test_replicas_lie_in_different_failure_domains(self) -> None:
        service = {"documents": 80}
        rows = layout.leaf_rows("s", service, {"layout": 1, "shards": 8, "replicas": 2}, "127.10.100", 1, ["a", "b"])
        self.assertEqual(len({row["address"] for row in rows}), 16)
        for shard in range(8):
            self.assertEqual(len({row["failure_domain"] for row in rows if row["shard"] == shard}), 2)


if __name__ == "__main__":
    unittest.main()
