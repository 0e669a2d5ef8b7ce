"""Targets, and the JSON and Markdown files of a measurement."""

import dataclasses
import datetime
import json
import math
import os
import pathlib
import subprocess
from typing import Any, Dict, List, Sequence

from .processes import ROOT

FOLDER = pathlib.Path("docs/measurements")


@dataclasses.dataclass
class Target:
    """A bound on a measured value. The bound is part of the program and is not derived from measurements."""

    name: str
    bound: float
    measured: float
    unit: str

    @property
    def nodes(self) -> int:
        """Fleet size that the name starts with; 0 for a target over all sizes."""
        words = self.name.split(" ", 2)
        return int(words[0]) if words[0].isdigit() else 0

    @property
    def met(self) -> bool:
        return not math.isnan(self.measured) and self.measured <= self.bound


@dataclasses.dataclass
class Report:
    """One measurement: rows of a table, targets and remarks."""

    name: str
    arguments: str
    rows: List[Dict[str, Any]] = dataclasses.field(default_factory=list)
    targets: List[Target] = dataclasses.field(default_factory=list)
    notes: List[str] = dataclasses.field(default_factory=list)
    appended_to: List[str] = dataclasses.field(default_factory=list)
    load_before: Sequence[float] = dataclasses.field(default_factory=os.getloadavg)

    def target(self, name: str, bound: float, measured: float, unit: str) -> None:
        self.targets.append(Target(name, bound, measured, unit))

    def met(self) -> bool:
        return bool(self.targets) and all(target.met for target in self.targets)


def continue_report(report: Report, sizes: Sequence[int]) -> None:
    """Takes over what the last report has of other sizes. Targets over all sizes are computed anew."""
    path = ROOT / FOLDER / f"fleet-{report.name}.json"
    if not path.exists():
        return
    old = json.loads(path.read_text())
    others = {row["nodes"] for row in old["rows"]} - set(sizes) - {row["nodes"] for row in report.rows}
    report.rows += [row for row in old["rows"] if row["nodes"] in others]
    report.targets += [Target(target["name"], target["bound"], math.nan if target["measured"] is None else
                              target["measured"], target["unit"])
                       for target in old["targets"] if target["nodes"] in others]
    report.notes += [note for note in old["notes"] if any(note.startswith(f"{size} nodes") for size in others)]
    report.appended_to += old["appended_to"] + [f"{old['commit']}, {old['time']}, {old['arguments']}"]


def percentile(values: Sequence[float], fraction: float) -> float:
    """Nearest rank; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def commit_id() -> str:
    commit = git("rev-parse", "--short=12", "HEAD")
    return commit + ("+changes" if git("status", "--porcelain", "--", "src", "standins", "experiments/fleet") else "")


def git(*arguments: str) -> str:
    return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()


def plain(value: Any) -> Any:
    """NaN and infinity are no JSON; null stands for a value that was not reached."""
    if isinstance(value, float):
        return round(value, 4) if math.isfinite(value) else None
    return value


def as_json(report: Report) -> Dict[str, Any]:
    return {
        "measurement": report.name,
        "arguments": report.arguments,
        "commit": commit_id(),
        "time": datetime.datetime.now(datetime.timezone.utc).isoformat(timespec="seconds"),
        "cores": os.cpu_count(),
        "load_before": list(report.load_before),
        "load_after": list(os.getloadavg()),
        "rows": [{key: plain(value) for key, value in row.items()} for row in report.rows],
        "targets": [{"name": target.name, "bound": target.bound, "measured": plain(target.measured),
                     "unit": target.unit, "nodes": target.nodes,
                     "met": target.met} for target in report.targets],
        "notes": report.notes,
        "appended_to": report.appended_to,
    }


def cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def table(rows: List[Dict[str, Any]]) -> List[str]:
    columns = list(dict.fromkeys(key for row in rows for key in row))
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    return lines + ["| " + " | ".join(cell(row.get(column)) for column in columns) + " |" for row in rows]


def target_row(target: Dict[str, Any]) -> Dict[str, Any]:
    row = {key: value for key, value in target.items() if key not in ("nodes", "met")}
    return dict(row, met="yes" if target["met"] else "NO")


def as_markdown(values: Dict[str, Any]) -> str:
    load = ", ".join(f"{value:.1f}" for value in [*values["load_before"], *values["load_after"]])
    lines = [f"# Fleet measurement: {values['measurement']}", "",
             f"- Command: `./scripts/fleet {values['measurement']} {values['arguments']}`".rstrip(),
             f"- Commit: {values['commit']}", f"- Time: {values['time']}",
             f"- Machine: {values['cores']} cores; load over 1, 5 and 15 minutes before and after: {load}"]
    lines += [f"- Contains rows of an earlier run: {text}" for text in values["appended_to"]] + [""]
    lines += table(values["rows"]) + ["", "## Targets", ""]
    lines += table([target_row(target) for target in values["targets"]])
    lines += ["", "## Remarks", ""] + [f"- {note}" for note in values["notes"]] if values["notes"] else []
    return "\n".join(lines) + "\n"


def write(report: Report) -> None:
    folder = ROOT / FOLDER
    folder.mkdir(parents=True, exist_ok=True)
    values = as_json(report)
    (folder / f"fleet-{report.name}.json").write_text(json.dumps(values, indent=1) + "\n")
    (folder / f"fleet-{report.name}.md").write_text(as_markdown(values))
