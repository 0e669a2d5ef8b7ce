"""A running deployment: starts it, and applies faults to it."""

import json
import os
import pathlib
import signal
import threading
import time

from . import rest
from .layout import Files, Host, host_list_address, CONFIG_PORT, HOST_LIST_PORT
from .processes import Processes
from .spec import Fault

BIN = pathlib.Path(os.environ.get("YP_BIN", "build/bin"))
READY_S = 45.0
STOP_S = 40.0


class Deployment:
    def __init__(self, files: Files, network: str, spec: dict) -> None:
        self.files = files
        self.network = network
        self.spec = spec
        self.processes = Processes(files.folder / "logs")
        self.variant = 0
        self.bad_exits = 0
        self.events: list[dict] = []
        self._published = 0
        self._began = 0.0
        self._lock = threading.Lock()

    # Starting

    def start(self) -> None:
        self.processes.start("configservice", [str(BIN / "standin_configservice"), "--address",
                                               f"{self.network}.0.10", "--port", str(CONFIG_PORT)])
        for index, listing in enumerate(self.files.host_lists):
            self.processes.start(f"hostlist-{index}", [
                str(BIN / "standin_hostlist"), "--address", host_list_address(self.network, index),
                "--port", str(HOST_LIST_PORT), "--hosts", str(listing)])
        self._start_backends()
        self._wait(lambda: rest.try_call(self.files.config_service, "GET", "/admin/stats")[0] == 200, "config service")
        for path in self.files.tickets:
            self.publish(path)
        for index, hosts in enumerate(self.files.hosts):
            for host in hosts:
                self.start_host(host, index)
        for hosts in self.files.hosts:
            for host in hosts:
                self._wait(lambda: self.serving(host), f"{host.name} ready")

    def _start_backends(self) -> None:
        separate = set(self.spec.get("separate", ()))
        together = []
        for server in self.files.servers:
            if server.name in separate:
                self.start_server(server.name)
            else:
                together += ["--server", str(server.settings)]
        threads = str(self.spec.get("backend_threads", 2))
        self.processes.start("backends", [str(BIN / "standin_backend"), "--threads", threads, "--log-level", "warning",
                                          *together])

    def start_server(self, name: str) -> None:
        server = next(server for server in self.files.servers if server.name == name)
        self.processes.start(f"server-{name}", [str(BIN / "standin_backend"), "--threads", "1", "--log-level",
                                                "warning", "--server", str(server.settings)])

    def start_host(self, host: Host, variant: int) -> None:
        self.processes.start(f"v{variant}-{host.name}", [str(BIN / "yuccaspoold"), "--settings", str(host.settings)])

    def _wait(self, condition, what: str) -> None:
        deadline = time.monotonic() + READY_S
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{what}: not after {READY_S:.0f} s")
            time.sleep(0.1)

    # Reading

    def hosts(self) -> list[Host]:
        return self.files.hosts[self.variant]

    def host(self, name: str) -> Host:
        return next(host for host in self.hosts() if host.name == name)

    def process_name(self, host: Host) -> str:
        return f"v{self.variant}-{host.name}"

    def serving(self, host: Host) -> bool:
        status, text = rest.try_call(host.admin, "GET", "/metrics", timeout=2)
        return status == 200 and rest.parse_metrics(text).get("serving") == 1

    def counters(self) -> dict[str, float]:
        """The metrics of the active variant's hosts, summed."""
        total: dict[str, float] = {}
        for host in self.hosts():
            for name, value in rest.parse_metrics(rest.try_call(host.admin, "GET", "/metrics")[1]).items():
                total[name] = total.get(name, 0.0) + value
        return total

    def daemon_cpu_s(self) -> float:
        return sum(self.processes.cpu_s(self.process_name(host)) for host in self.hosts())

    def all_cpu_s(self) -> float:
        return sum(self.processes.cpu_s(name) for name in self.processes.names())

    def server_stats(self) -> dict[str, dict]:
        """The counters of all leafs, by leaf."""
        leafs: dict[str, dict] = {}
        for server in self.files.servers:
            status, text = rest.try_call(server.admin, "GET", "/admin/stats")
            if status == 200:
                leafs.update(json.loads(text)["leafs"])
        return leafs

    # Faults

    def publish(self, path: pathlib.Path) -> None:
        self._published += 1
        text = path.read_text()
        status, answer = rest.call(self.files.config_service, "POST", "/admin/publish", text)
        if status != 200:
            raise RuntimeError(f"publishing {path.name}: {answer}")

    def control(self, servers: list[str], values: dict, stagger_s: float = 0.0) -> None:
        for server in self.files.servers:
            if servers == ["all"] or server.name in servers or any(
                    name.endswith("*") and server.name.startswith(name[:-1]) for name in servers):
                rest.try_call(server.admin, "POST", "/admin/control", values)
                time.sleep(stagger_s)

    def begin(self) -> None:
        self._began = time.monotonic()
        self.events = []

    def note(self, text: str) -> None:
        with self._lock:
            self.events.append({"at_s": round(time.monotonic() - self._began, 2), "event": text})

    def apply(self, fault: Fault) -> None:
        """Applies one fault and returns when it has passed."""
        self.note(f"{fault.do} {fault.target}".strip())
        getattr(self, f"do_{fault.do}")(fault)

    def do_control(self, fault: Fault) -> None:
        self.control(fault.values["servers"], fault.values["set"], fault.values.get("stagger_s", 0.0))

    def do_cut_connections(self, fault: Fault) -> None:
        self.control([fault.target], {"cut_connections": True})

    def do_publish(self, fault: Fault) -> None:
        self.publish(self.files.extra_tickets[fault.target])

    def do_kill_server(self, fault: Fault) -> None:
        self.processes.signal(f"server-{fault.target}", signal.SIGKILL)
        self.processes.wait(f"server-{fault.target}", 10)
        time.sleep(fault.values["restart_after_s"])
        self.start_server(fault.target)
        self.note(f"started {fault.target}")

    def do_kill_host(self, fault: Fault) -> None:
        host = self.host(fault.target)
        self.processes.signal(self.process_name(host), signal.SIGKILL)
        self.processes.wait(self.process_name(host), 10)
        time.sleep(fault.values["restart_after_s"])
        self.start_host(host, self.variant)

    def do_pause_host(self, fault: Fault) -> None:
        name = self.process_name(self.host(fault.target))
        self.processes.signal(name, signal.SIGSTOP)
        try:
            time.sleep(fault.values["for_s"])
        finally:
            self.processes.signal(name, signal.SIGCONT)

    def do_rolling_restart(self, fault: Fault) -> None:
        for host in self.hosts():
            self.restart_gracefully(host)

    def restart_gracefully(self, host: Host) -> None:
        name = self.process_name(host)
        self.processes.signal(name, signal.SIGTERM)
        code = self.processes.wait(name, STOP_S)
        if code != 0:
            self.bad_exits += 1
            self.note(f"{host.name} ended with {code}")
        self.start_host(host, self.variant)
        self._wait(lambda: self.serving(host), f"{host.name} ready")
        self.note(f"{host.name} serves again")
