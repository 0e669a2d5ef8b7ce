"""Processes that the driver started; signals go to these alone, by their ids."""

import os
import pathlib
import signal
import subprocess
import threading

MAX_PROCESSES = 64
TICKS = os.sysconf("SC_CLK_TCK")


class Processes:
    def __init__(self, logs: pathlib.Path) -> None:
        self._logs = logs
        self._running: dict[str, subprocess.Popen] = {}
        self._lock = threading.Lock()
        self._used_s = 0.0
        logs.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, arguments: list[str]) -> subprocess.Popen:
        with self._lock:
            if len(self._running) >= MAX_PROCESSES:
                raise RuntimeError("too many processes")
            with (self._logs / f"{name}.log").open("ab") as log:
                process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
            self._running[name] = process
            return process

    def get(self, name: str) -> subprocess.Popen:
        with self._lock:
            return self._running[name]

    def signal(self, name: str, number: int) -> None:
        process = self.get(name)
        if process.poll() is None:
            process.send_signal(number)

    def wait(self, name: str, timeout: float) -> int:
        """Waits for the end and forgets the process. Returns its exit code."""
        process = self.get(name)
        code = process.wait(timeout)
        with self._lock:
            self._running.pop(name, None)
        return code

    def cpu_s(self, name: str) -> float:
        """User and system time of a running process so far."""
        try:
            text = pathlib.Path(f"/proc/{self.get(name).pid}/stat").read_text()
        except (KeyError, OSError):
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def names(self) -> list[str]:
        with self._lock:
            return list(self._running)

    def stop_all(self) -> None:
        """Ends what is left: SIGKILL, because nothing is measured any more."""
        for name in self.names():
            process = self.get(name)
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for name in self.names():
            self.wait(name, 10)
