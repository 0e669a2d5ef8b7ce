"""Medians and spread over seeds, and whether each target was met."""

import math
import statistics
from dataclasses import dataclass

from .spec import RELATIONS, Target

REDUCE = {"median": statistics.median, "max": max, "min": min, "sum": sum}


@dataclass(frozen=True)
class Verdict:
    text: str
    limit: float
    measured: float
    met: bool


def summary(values: list[float]) -> dict[str, float]:
    return {"median": statistics.median(values), "min": min(values), "max": max(values)}


def summaries(runs: list[dict]) -> dict[str, dict]:
    """By variant and metric."""
    result: dict[str, dict] = {}
    for variant in dict.fromkeys(run["variant"] for run in runs):
        own = [run["figures"] for run in runs if run["variant"] == variant]
        shared = [name for name in own[0] if all(name in figures for figures in own)]
        result[variant] = {name: summary([figures[name] for figures in own]) for name in shared}
    return result


def values_of(runs: list[dict], variant: str, metric: str) -> list[float]:
    return [run["figures"].get(metric, math.nan) for run in runs if run["variant"] == variant]


def reduce_over_seeds(runs: list[dict], variant: str, target: Target) -> float:
    """Not a number when any seed has no figure, so that a missing figure never meets a target."""
    values = values_of(runs, variant, target.metric)
    if not values or any(math.isnan(value) for value in values):
        return math.nan
    return REDUCE[target.over_seeds](values)


def judge(target: Target, runs: list[dict]) -> Verdict:
    limit = target.limit
    if target.of:
        limit *= reduce_over_seeds(runs, target.of, target)
    measured = reduce_over_seeds(runs, target.variant, target)
    met = not math.isnan(measured) and not math.isnan(limit) and RELATIONS[target.relation](measured, limit)
    return Verdict(target.text, limit, measured, met)
