"""The events of a run and the violations found, with the time they happened."""

from __future__ import annotations

import calendar
import pathlib
import re
import time
from dataclasses import dataclass
from typing import Iterator, List, Tuple

BEFORE_S = 6.0
AFTER_S = 1.0
MAX_LINES = 120
LOG_TIME = re.compile(r"^time=(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d)\.(\d{3})Z ")


@dataclass(order=True)
class Violation:
    when: float
    name: str
    detail: str


class Trace:
    def __init__(self) -> None:
        self.events: List[Tuple[float, str]] = []
        self.violations: List[Violation] = []

    def event(self, text: str) -> None:
        self.events.append((time.time(), text))

    def violation(self, when: float, name: str, detail: str) -> None:
        self.violations.append(Violation(when, name, detail))


def log_lines(path: pathlib.Path) -> Iterator[Tuple[float, str]]:
    """Lines with a time; lines without one get the time of the line before."""
    when = 0.0
    with open(path, errors="replace") as lines:
        for line in lines:
            match = LOG_TIME.match(line)
            if match:
                whole = calendar.timegm(time.strptime(match.group(1), "%Y-%m-%dT%H:%M:%S"))
                when = whole + int(match.group(2)) / 1000
            yield when, line.rstrip()


def around(trace: Trace, folder: pathlib.Path, when: float) -> List[str]:
    """Faults and log lines around a time, in their order."""
    rows = [(moment, "fault", text) for moment, text in trace.events]
    for path in sorted(folder.glob("entry-*.log")):
        rows.extend((moment, path.stem, line[:300]) for moment, line in log_lines(path))
    near = sorted(row for row in rows if when - BEFORE_S <= row[0] <= when + AFTER_S)
    # The lines closest to the violation are kept.
    while len(near) > MAX_LINES:
        near.pop(0 if when - near[0][0] > near[-1][0] - when else -1)
    return [f"{moment - when:+8.3f} {source}: {text}" for moment, source, text in near]
