"""Figures of one run, from the load generator's result, the daemons' counters and the logs."""

import json
import math
import pathlib
from collections import Counter
from typing import Iterable

LATENCIES = ("p50", "p90", "p99", "p999", "max")
BUCKET_S = 0.5
RECOVERED_SHARE = 0.9


def of_load(result: dict) -> dict[str, float]:
    outcomes, coverage = result["outcomes"], result["coverage"]
    answered = outcomes.get("answered", 0)
    offered = result["offered"]
    latency = result["latency_ms"]["answered"]
    figures = {f"{name}_ms": latency[name] for name in LATENCIES}
    figures |= {"offered": offered, "answered": answered, "not_answered": offered - answered,
                "cut_off": result["cut_off"], "resent": result["resent"],
                "mixed_snapshots": result["answers"]["mixed"], "differing_answers": result["answers"]["differing"],
                "repeated_queries": result["answers"]["repeats"]}
    figures |= {outcome: outcomes.get(outcome, 0) for outcome in ("not_run", "unknown", "no_reply", "generator_full")}
    lookups = sum(coverage.values())
    figures["complete_percent"] = 100 * coverage.get("complete", 0) / lookups if lookups else math.nan
    figures["wrong_answers"] = figures["mixed_snapshots"] + figures["differing_answers"]
    return figures


def of_counters(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    """Leaf requests beyond first attempts, in percent; only of use when no daemon restarted in between."""
    change = {name: after.get(name, 0) - before.get(name, 0) for name in after}
    first = change.get("leaf_first_attempts_total", 0)
    extra = sum(change.get(f"leaf_{kind}_total", 0) for kind in ("hedges", "retries", "probes"))
    written = change.get("leaf_requests_written_total", 0)
    return {
        "extra_load_percent": 100 * extra / first if first else math.nan,
        "written_over_first_percent": 100 * (written / first - 1) if first else math.nan,
        "first_attempts": first, "leaf_requests": written,
        "broken_invariants": after.get("broken_invariants_total", 0),
    }


def read_lines(path: pathlib.Path) -> Iterable[dict]:
    """The lines of a JSON log; the last line of a process that was killed may be cut off."""
    if not path.is_file():
        return
    with path.open() as lines:
        for line in lines:
            try:
                yield json.loads(line)
            except ValueError:
                continue


def compare_executions(requests: Iterable[dict], executed: Iterable[str]) -> dict[str, float]:
    """Compares what callers were told about each id with how often a leaf ran it."""
    runs = Counter(executed)
    figures = Counter(ids=0, executions=sum(runs.values()), duplicates=sum(1 for count in runs.values() if count > 1),
                      not_run_but_ran=0, answered_but_not_ran=0, unknown_and_ran=0, final_unknown=0, no_verdict=0,
                      contradictions=0, resent_ids=0)
    for request in requests:
        if request["kind"] != "execute" or not request["id"]:
            continue
        ran, told = runs[request["id"]] > 0, set(request["told"])
        figures["ids"] += 1
        figures["resent_ids"] += request["attempts"] > 1
        figures["not_run_but_ran"] += "not_run" in told and ran
        figures["answered_but_not_ran"] += "answered" in told and not ran
        figures["contradictions"] += {"not_run", "answered"} <= told
        figures["final_unknown"] += request["outcome"] == "unknown"
        figures["unknown_and_ran"] += request["outcome"] == "unknown" and ran
        figures["no_verdict"] += request["outcome"] == "no_reply"
    result = dict(figures)
    result["unknown_percent"] = 100 * figures["final_unknown"] / figures["ids"] if figures["ids"] else math.nan
    return result


def timeline(requests: Iterable[dict], bucket_s: float = BUCKET_S) -> list[dict]:
    """By intended send time: requests offered and answered, and the slowest answer."""
    buckets: dict[int, dict] = {}
    for request in requests:
        index = int(request["at_ms"] / 1000 / bucket_s)
        row = buckets.setdefault(index, {"at_s": index * bucket_s, "offered": 0, "answered": 0, "worst_ms": 0.0})
        row["offered"] += 1
        if request["outcome"] == "answered":
            row["answered"] += 1
            row["worst_ms"] = max(row["worst_ms"], request["latency_ms"])
    return [buckets[index] for index in sorted(buckets)]


def answered_outside(requests: Iterable[dict], windows: list[list[float]]) -> dict[str, float]:
    """Lookups without an answer that were sent while every shard had a replica left."""
    lost = [request for request in requests if request["outcome"] != "answered"
            and not any(first <= request["at_ms"] / 1000 < last for first, last in windows)]
    return {"errors_with_replica": len(lost)}


def of_phases(rows: list[dict], slow_from_s: float, slow_to_s: float, bucket_s: float = BUCKET_S) -> dict[str, float]:
    """Answers a second before, during and after a slow phase, and the time until 90 % of the first is reached."""
    def rate(first: float, last: float) -> float:
        chosen = [row["answered"] for row in rows if first <= row["at_s"] < last]
        return sum(chosen) / (len(chosen) * bucket_s) if chosen else math.nan

    # The first second holds the warm-up of connections.
    before = rate(1.0, slow_from_s)
    recovered = next((row["at_s"] for row in rows if row["at_s"] >= slow_to_s
                      and row["answered"] >= RECOVERED_SHARE * before * bucket_s), math.inf)
    return {"goodput_before": before, "goodput_slow": rate(slow_from_s + 1, slow_to_s),
            "recovery_s": recovered - slow_to_s}
