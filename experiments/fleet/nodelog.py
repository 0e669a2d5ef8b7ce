"""Reads the log of a node while the node writes it."""

import calendar
import pathlib
import re
import time
from typing import List, Optional, Tuple

LINE = re.compile(r"time=(\S+?)\.(\d{3})Z level=\S+ event=(ticket_in_force|lifecycle)\b.* from=(\S+) to=(\S+)")


def parse_time(seconds: str, milliseconds: str) -> float:
    return calendar.timegm(time.strptime(seconds, "%Y-%m-%dT%H:%M:%S")) + int(milliseconds) / 1000


class NodeLog:
    """Numbers in force and states of the life cycle, with wall times in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.offset = 0
        self.rest = ""
        self.in_force: List[Tuple[float, int]] = []
        self.states: List[Tuple[float, str]] = []
        self.decreases = 0

    def update(self) -> None:
        with self.path.open("rb") as stream:
            stream.seek(self.offset)
            data = stream.read()
        self.offset += len(data)
        lines = (self.rest + data.decode(errors="replace")).split("\n")
        self.rest = lines.pop()
        for line in lines:
            self.take(line)

    def take(self, line: str) -> None:
        match = LINE.match(line)
        if not match:
            return
        when = parse_time(match[1], match[2])
        if match[3] == "lifecycle":
            self.states.append((when, match[5]))
            return
        number = int(match[5])
        self.decreases += 1 if number < self.number() else 0
        self.in_force.append((when, number))

    def number(self) -> int:
        return self.in_force[-1][1] if self.in_force else 0

    def state(self) -> str:
        return self.states[-1][1] if self.states else "starting"

    def when_in_force(self, number: int) -> Optional[float]:
        return next((when for when, known in self.in_force if known >= number), None)

    def first_ready(self) -> Optional[float]:
        return next((when for when, state in self.states if state == "ready"), None)

    def number_at(self, when: float) -> int:
        return max((number for time_known, number in self.in_force if time_known <= when), default=0)
