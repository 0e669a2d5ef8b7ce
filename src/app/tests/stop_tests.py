#!/usr/bin/env python3
"""Planned stops of a daemon process: repeated signals, and administrators' requests during the stop.

Usage: stop_tests.py YUCCASPOOLD [CYCLES]
"""

import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

DAEMON = ""
CYCLES = 4
ADDRESS = "127.30.250.1"
ADMIN = (ADDRESS, 7003)
START_LIMIT_S = 20.0
STOP_LIMIT_S = 20.0

# The platform's ports are closed, so the node never becomes ready and stops without the time to leave.
SETTINGS = f"""[node]
host = stop-test
failure_domain = one
region = one
caller_address = {ADDRESS}
caller_port = 7001
peer_address = {ADDRESS}
peer_port = 7002
admin_address = {ADDRESS}
admin_port = 7003

[platform]
config_service = {ADDRESS}:7100
host_list = {ADDRESS}:7200

[threads]
request_threads = 2

[log]
level = info
"""


def admin_answers() -> bool:
    try:
        with socket.create_connection(ADMIN, timeout=1.0) as connection:
            connection.sendall(b"GET /admin/status HTTP/1.1\r\nHost: a\r\n\r\n")
            return connection.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def ask_until(ended: threading.Event) -> None:
    """Keeps requests of administrators under way until the daemon has ended."""
    while not ended.is_set():
        try:
            with socket.create_connection(ADMIN, timeout=0.5) as connection:
                connection.settimeout(0.5)
                while not ended.is_set():
                    connection.sendall(b"GET /admin/status HTTP/1.1\r\nHost: a\r\n\r\n")
                    if not connection.recv(4096):
                        break
        except OSError:
            ended.wait(0.01)


class StopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def start(self) -> subprocess.Popen:
        folder = pathlib.Path(self.folder.name)
        settings = folder / "host.ini"
        settings.write_text(SETTINGS)
        with open(folder / "log", "wb") as log:
            daemon = subprocess.Popen([DAEMON, "--settings", str(settings)], stdout=log, stderr=log)
        self.addCleanup(self.end, daemon)
        limit = time.monotonic() + START_LIMIT_S
        while not admin_answers():
            self.assertIsNone(daemon.poll(), self.log())
            self.assertLess(time.monotonic(), limit, "the daemon does not start")
            time.sleep(0.02)
        return daemon

    def log(self) -> str:
        return (pathlib.Path(self.folder.name) / "log").read_text(errors="replace")[-4000:]

    @staticmethod
    def end(daemon: subprocess.Popen) -> None:
        if daemon.poll() is None:
            daemon.kill()
        daemon.wait()

    def test_repeated_stop_signals_do_not_end_the_process_early(self) -> None:
        """Guards against the default action of SIGTERM between the end of the signal handler and the exit."""
        for _ in range(CYCLES):
            daemon = self.start()
            limit = time.monotonic() + STOP_LIMIT_S
            while daemon.poll() is None:
                self.assertLess(time.monotonic(), limit, "the daemon does not stop")
                daemon.send_signal(signal.SIGTERM)
                time.sleep(0.0002)
            self.assertEqual(daemon.returncode, 0, self.log())

    def test_requests_of_administrators_during_a_stop(self) -> None:
        """Guards against responses that are released after the event loop of their connection."""
        for _ in range(CYCLES):
            daemon = self.start()
            ended = threading.Event()
            askers = [threading.Thread(target=ask_until, args=(ended,)) for _ in range(8)]
            for asker in askers:
                asker.start()
            daemon.send_signal(signal.SIGTERM)
            try:
                code = daemon.wait(timeout=STOP_LIMIT_S)
            finally:
                ended.set()
                for asker in askers:
                    asker.join()
            self.assertEqual(code, 0, self.log())


if __name__ == "__main__":
    DAEMON = sys.argv[1]
    CYCLES = int(sys.argv[2]) if len(sys.argv) > 2 else CYCLES
    unittest.main(argv=sys.argv[:1])
