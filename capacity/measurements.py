"""Reads recorded measurements and remembers where each figure came from."""

import json
import pathlib
from dataclasses import dataclass
from typing import Any, Callable, Optional

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs" / "measurements"


@dataclass(frozen=True)
class Figure:
    """A value with its source. No value: nothing is recorded."""

    value: Optional[float]
    source: str


def load(name: str) -> Optional[dict]:
    path = FOLDER / f"{name}.json"
    return json.loads(path.read_text()) if path.exists() else None


def measured(name: str, read: Callable[[dict], Any], how: str = "measured") -> Figure:
    """Reads one value out of a record; a missing record or field yields no value."""
    record = load(name)
    if record is None:
        return Figure(None, f"not recorded ({name}.json)")
    try:
        value = read(record)
    except (KeyError, IndexError, StopIteration, TypeError):
        value = None
    commit = record.get("commit", "")
    at = f" at {commit}" if commit else ""
    if value is None:
        return Figure(None, f"not recorded in {name}.json")
    return Figure(float(value), f"{how}: {name}.json{at}")


def row_of(record: dict, rows: str = "rows", **wanted: Any) -> dict:
    return next(row for row in record[rows] if all(row.get(key) == value for key, value in wanted.items()))


def fitted(name: str, rows: str, wanted: Callable[[dict], bool], read: Callable[[dict], Any], size: int) -> Figure:
    """Extends a least-squares line over the fleet sizes of a record to a size."""
    record = load(name)
    if record is None:
        return Figure(None, f"not recorded ({name}.json)")
    points = [(row["nodes"], float(read(row))) for row in record[rows] if wanted(row)]
    if len(points) < 2:
        return Figure(None, f"fewer than two sizes in {name}.json")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    sizes = " to ".join(f"{x:,}" for x in (min(points)[0], max(points)[0]))
    line = f"{mean_y - slope * mean_x:.4g} + {slope * 1000:.4g} for each 1,000 nodes"
    return Figure(mean_y + slope * (size - mean_x),
                  f"extrapolated linearly from {sizes} nodes ({line}): {name}.json at {record.get('commit', '')}")


def assumed(value: float, how: str) -> Figure:
    return Figure(value, f"assumed; {how}")


def derived(value: float, formula: str) -> Figure:
    return Figure(value, f"derived: {formula}")


def product(formula: str, *figures: Figure, factor: float = 1.0) -> Figure:
    """Multiplies figures; the source names the formula and where its parts came from."""
    value: Optional[float] = factor
    for figure in figures:
        value = None if value is None or figure.value is None else value * figure.value
    sources = "; ".join(dict.fromkeys(figure.source for figure in figures))
    return Figure(value, f"extrapolated: {formula} ({sources})")
