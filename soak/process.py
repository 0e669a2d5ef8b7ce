"""Processes of a run. Signals go only to processes started here, by their process id."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import subprocess
import time
from typing import Dict, List, Optional, Tuple

from soak.deployment import ROOT
from soak.trace import Trace

REAP_INTERVAL_S = 0.02
STOP_LIMIT_S = 45.0  # leave time, drain limit, and some for the ends
MIN_DELAY_NS = 5_000_000  # shorter waits are part of the slack
Interval = Tuple[float, float]


class Process:
    """A program that may be started several times, one run at a time."""

    def __init__(self, name: str, command: List[str], logs: pathlib.Path, trace: Trace) -> None:
        self.name = name
        self.command = command
        self.logs = logs
        self.trace = trace
        self.child: Optional[subprocess.Popen] = None
        self.runs = 0
        self.killed = False
        self.stopping = False
        self.started: List[float] = []
        self.kills: List[float] = []
        self.stops: List[float] = []
        self.pauses: List[Interval] = []
        self.paused_since: Optional[float] = None
        self.task_delays: Dict[str, int] = {}  # by thread, ns spent waiting for a core
        self.delays: List[Tuple[float, float, float]] = []  # begin and end of a sample, and the longest wait in it
        self.sampled = time.time()

    def running(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def start(self) -> None:
        """Starts the program unless it runs."""
        self.reap()
        if self.child is not None:
            return
        self.runs += 1
        self.killed = self.stopping = False
        with open(self.logs / f"{self.name}.{self.runs}.log", "wb") as log:
            self.child = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)
        self.started.append(time.time())
        if self.runs > 1:
            self.trace.event(f"start {self.name} run={self.runs}")

    def signal(self, number: int) -> bool:
        if not self.running():
            return False
        assert self.child is not None
        self.child.send_signal(number)
        return True

    def kill(self) -> None:
        self.killed = self.killed or self.running()
        before = time.time()
        if self.signal(signal.SIGKILL):
            self.kills.append(before)
            self.trace.event(f"SIGKILL {self.name}")
            self.end_pause()
            assert self.child is not None
            self.child.wait()
            self.reap()

    def stop(self) -> None:
        if not self.stopping and self.signal(signal.SIGTERM):
            self.stopping = True
            self.stops.append(time.time())
            self.trace.event(f"SIGTERM {self.name}")

    def pause(self) -> Optional[int]:
        """Stops the process from running. Returns the number of the run for resume."""
        if self.paused_since is not None or not self.signal(signal.SIGSTOP):
            return None
        self.paused_since = time.time()
        self.trace.event(f"SIGSTOP {self.name}")
        return self.runs

    def resume(self, run: Optional[int]) -> None:
        if run is None or run != self.runs or self.paused_since is None:
            return
        self.signal(signal.SIGCONT)
        self.trace.event(f"SIGCONT {self.name}")
        self.end_pause()

    def end_pause(self) -> None:
        if self.paused_since is not None:
            self.pauses.append((self.paused_since, time.time()))
            self.paused_since = None

    def paused_during(self, begin: float, end: float) -> bool:
        if self.paused_since is not None and self.paused_since <= end:
            return True
        return any(first <= end and last >= begin for first, last in self.pauses)

    def killed_during(self, begin: float, end: float) -> bool:
        return any(begin <= moment <= end for moment in self.kills)

    def started_during(self, begin: float, end: float) -> bool:
        return any(begin <= moment <= end for moment in self.started)

    def sample_delay(self) -> None:
        """Reads how long the threads could run but had no core: the process was paused by the scheduler."""
        if not self.running():
            self.task_delays = {}
            return
        assert self.child is not None
        now, worst, delays = time.time(), 0, {}
        for task in pathlib.Path(f"/proc/{self.child.pid}/task").glob("*/schedstat"):
            try:
                delays[task.parent.name] = int(task.read_text().split()[1])
            except (OSError, IndexError):
                continue
            worst = max(worst, delays[task.parent.name] - self.task_delays.get(task.parent.name, 0))
        if worst > MIN_DELAY_NS and self.task_delays:
            self.delays.append((self.sampled, now, worst / 1e9))
        self.task_delays, self.sampled = delays, now

    def delay_during(self, begin: float, end: float) -> float:
        """Upper bound of the time that a thread waited for a core in an interval."""
        total = 0.0
        for first, last, delay in reversed(self.delays):
            if last < begin:
                break
            if first <= end:
                total += min(delay, last - first)
        return total

    def reap(self) -> None:
        """Checks how the process ended, if it did."""
        if self.child is None or self.child.poll() is None:
            return
        code = self.child.returncode
        expected = -signal.SIGKILL if self.killed else 0
        wanted = self.killed or self.stopping
        # A process may end by itself just before the SIGKILL.
        if not wanted or (code != expected and not (self.killed and self.stopping and code == 0)):
            self.trace.violation(time.time(), "process_ended", f"{self.name} run={self.runs} exit_code={code}")
        self.trace.event(f"ended {self.name} exit_code={code}")
        self.child = None
        self.end_pause()

    async def wait_end(self, limit: float) -> bool:
        end = time.time() + limit
        while self.running() and time.time() < end:
            await asyncio.sleep(REAP_INTERVAL_S)
        ended = not self.running()
        self.reap()
        return ended


def stop_all(processes: Dict[str, Process]) -> None:
    """Ends every process at the end of a run: daemons in the planned way, the others at once."""
    for process in processes.values():
        process.signal(signal.SIGCONT)
        process.end_pause()
        process.stop()
    end = time.time() + STOP_LIMIT_S
    while time.time() < end and any(process.running() for process in processes.values()):
        time.sleep(REAP_INTERVAL_S)
    for process in processes.values():
        if process.running():
            process.trace.violation(time.time(), "planned_stop_too_long", f"{process.name} at the end of the run")
            process.kill()
        process.reap()
