"""Experiment files: reading, checking, and the expansion of faults into a timeline."""

import json
import pathlib
import random
from dataclasses import dataclass, field, replace
from typing import Any

FOLDER = pathlib.Path("experiments")
RELATIONS = {"<=": lambda got, limit: got <= limit, ">=": lambda got, limit: got >= limit}
OVER_SEEDS = ("median", "max", "min", "sum")


class SpecError(Exception):
    """An experiment file is wrong; the text names the file and the entry."""


@dataclass(frozen=True)
class Fault:
    at_s: float
    do: str
    target: str = ""
    values: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Variant:
    name: str
    settings: dict = field(default_factory=dict)
    faults: tuple = ()
    rate_factor: float = 1.0


@dataclass(frozen=True)
class Target:
    """A bound on a metric of one variant; `of` makes the bound a multiple of another variant's metric."""

    text: str
    metric: str
    variant: str
    relation: str
    limit: float
    over_seeds: str = "median"
    of: str = ""


@dataclass(frozen=True)
class Experiment:
    name: str
    question: str
    network: str
    deployment: dict
    load: tuple
    variants: tuple
    targets: tuple
    seeds: tuple
    run_s: float
    columns: tuple
    faults: tuple = ()
    census: dict = field(default_factory=dict)
    plot: dict = field(default_factory=dict)
    phases: dict = field(default_factory=dict)
    quick: dict = field(default_factory=dict)
    until_faults_end: bool = False
    max_s: float = 240.0
    notes: str = ""


def _take(kind: type, entry: dict, where: str) -> Any:
    try:
        return kind(**entry)
    except TypeError as error:
        raise SpecError(f"{where}: {error}") from error


def parse(text: str, where: str) -> Experiment:
    """Reads an experiment file's text and checks it."""
    raw = json.loads(text)
    raw["variants"] = tuple(_take(Variant, dict(entry, faults=tuple(entry.get("faults", ()))), where)
                            for entry in raw.get("variants", [{"name": "default"}]))
    raw["targets"] = tuple(_take(Target, entry, where) for entry in raw.get("targets", []))
    for name in ("load", "seeds", "columns", "faults"):
        raw[name] = tuple(raw.get(name, ()))
    experiment = _take(Experiment, raw, where)
    _check(experiment, where)
    return experiment


def _check(experiment: Experiment, where: str) -> None:
    names = {variant.name for variant in experiment.variants}
    for target in experiment.targets:
        if target.variant not in names or (target.of and target.of not in names):
            raise SpecError(f"{where}: target '{target.text}' names an unknown variant")
        if target.relation not in RELATIONS or target.over_seeds not in OVER_SEEDS:
            raise SpecError(f"{where}: target '{target.text}' has an unknown relation or way over seeds")
    third = experiment.network.split(".")
    if len(third) != 2 or third[0] != "127" or not 10 <= int(third[1]) <= 19:
        raise SpecError(f"{where}: network must be 127.10 to 127.19")
    if not experiment.load or not experiment.seeds:
        raise SpecError(f"{where}: load and seeds must not be empty")


def load(name: str) -> Experiment:
    path = FOLDER / f"{name}.json"
    if not path.is_file():
        raise SpecError(f"no experiment {name}; there are: {', '.join(names())}")
    return parse(path.read_text(), str(path))


def names() -> list[str]:
    return sorted(path.stem for path in FOLDER.glob("*.json"))


def quick(experiment: Experiment) -> Experiment:
    """The short form: other seeds, times and faults as the file says, the same targets."""
    changed = {key: tuple(value) if isinstance(value, list) else value for key, value in experiment.quick.items()}
    return replace(experiment, max_s=75.0, **changed)


def _draw(value: Any, source: random.Random) -> float:
    """A number, or a pair of bounds from which a number is drawn."""
    return source.uniform(*value) if isinstance(value, list) else float(value)


def _random_faults(entry: dict, source: random.Random, hosts: list[str], servers: list[str]) -> list[Fault]:
    """Draws faults at regular times. A host has one fault at a time, and one host always stays untouched."""
    busy: dict[str, float] = {}
    faults = []
    at = float(entry["from_s"])
    while at < entry["to_s"]:
        choice = source.choice(entry["choices"])
        values = {key: _draw(value, source) for key, value in choice.items() if key.endswith("_s")}
        if choice["do"] == "cut_connections":
            faults.append(Fault(at, choice["do"], source.choice(servers), values))
        else:
            free = [host for host in hosts[1:] if busy.get(host, 0.0) <= at]
            if free:
                host = source.choice(free)
                # The host needs some seconds to become ready again.
                busy[host] = at + sum(values.values()) + entry.get("settle_s", 3.0)
                faults.append(Fault(at, choice["do"], host, values))
        at += entry["every_s"]
    return faults


def expand_faults(entries: tuple, seed: int, hosts: list[str], servers: list[str]) -> list[Fault]:
    """The timeline, in order of time; random entries depend on the seed alone."""
    source = random.Random(seed)
    faults = []
    for entry in entries:
        if entry["do"] == "random":
            faults += _random_faults(entry, source, hosts, servers)
            continue
        rest = {key: value for key, value in entry.items() if key not in ("at_s", "do", "target")}
        faults.append(Fault(float(entry["at_s"]), entry["do"], entry.get("target", ""), rest))
    return sorted(faults, key=lambda fault: fault.at_s)
