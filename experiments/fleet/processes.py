"""Starts and stops the processes of a fleet. Signals go only to processes started here, by process id."""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import time
from typing import Any, Callable, Dict, Iterable, List, Optional

from . import deployment, webclient
from .nodelog import NodeLog

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BIN = pathlib.Path(os.environ.get("YP_BIN", "build/bin"))
MAX_NODES = 210
POLL_SECONDS = 0.1
STOP_SECONDS = 10.0


class Node:
    """One host of the fleet and the incarnations of its daemon."""

    def __init__(self, spec: deployment.NodeSpec, folder: pathlib.Path) -> None:
        self.spec = spec
        self.folder = folder
        self.process: Optional[subprocess.Popen] = None
        self.logs: List[NodeLog] = []
        self.started = 0.0

    @property
    def log(self) -> NodeLog:
        return self.logs[-1]

    def start(self) -> None:
        path = self.folder / f"{self.spec.host}.{len(self.logs) + 1}.log"
        settings = str((self.folder / f"{self.spec.host}.ini").relative_to(ROOT))
        self.started = time.time()
        self.process = spawn([str(BIN / "yuccaspoold"), "--settings", settings], path)
        self.logs.append(NodeLog(path))

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.alive():
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.process.wait()


def spawn(command: List[str], log: pathlib.Path) -> subprocess.Popen:
    with log.open("wb") as stream:
        return subprocess.Popen(command, cwd=ROOT, stdout=stream, stderr=stream, stdin=subprocess.DEVNULL)


class Fleet:
    """A fleet with its stand-ins. A context manager that ends every process it started."""

    pool = 0

    def __init__(self, name: str, size: int) -> None:
        if size > MAX_NODES:
            raise ValueError(f"at most {MAX_NODES} nodes, not {size}")
        self.folder = ROOT / "run" / "fleet" / f"{name}-{size}"
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        specs = [deployment.make_node(number, self.pool) for number in range(size)]
        deployment.write_deployment(self.folder, specs, self.pool)
        self.nodes = [Node(spec, self.folder) for spec in specs]
        self.config_service = deployment.config_service(self.pool)
        self.host_list = deployment.host_list(self.pool)
        self.platform: Dict[str, subprocess.Popen] = {}
        self.head = 0

    def __enter__(self) -> "Fleet":
        try:
            self.start_platform()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: Any) -> None:
        self.stop()

    def start_platform(self) -> None:
        self.start_standin("configservice", self.config_service, [])
        hosts = str((self.folder / "hostlist.json").relative_to(ROOT))
        self.start_standin("hostlist", self.host_list, ["--hosts", hosts])
        self.publish(deployment.fleet_ticket(1))

    def start_standin(self, name: str, endpoint: str, arguments: List[str]) -> None:
        address, port = endpoint.split(":")
        command = [str(BIN / f"standin_{name}"), "--address", address, "--port", port, "--log-level", "warning"]
        self.platform[name] = spawn(command + arguments, self.folder / f"{name}.log")
        wait_for(lambda: answers(endpoint), 5.0)

    def start_all(self, pause: float = 0.0) -> None:
        for node in self.nodes:
            node.start()
            time.sleep(pause)

    def publish(self, body: bytes) -> float:
        """Publishes the next ticket; returns the wall time just before."""
        before = time.time()
        self.head = webclient.post_json(self.config_service, "/admin/publish", body)["number"]
        return before

    def publish_small(self) -> float:
        return self.publish(deployment.small_ticket(self.head + 1))

    def service_mode(self, mode: str, **details: int) -> None:
        set_mode(self.config_service, mode, **details)

    def list_mode(self, mode: str) -> None:
        set_mode(self.host_list, mode)

    def service_stats(self) -> Any:
        return webclient.get_json(self.config_service, "/admin/stats")

    def update(self, nodes: Optional[Iterable[Node]] = None) -> None:
        for node in self.nodes if nodes is None else nodes:
            if node.logs:
                node.log.update()

    def wait_in_force(self, number: int, nodes: List[Node], seconds: float) -> bool:
        def reached() -> bool:
            self.update(nodes)
            return all(node.log.number() >= number for node in nodes)
        return wait_for(reached, seconds)

    def wait_ready(self, nodes: List[Node], seconds: float) -> bool:
        def reached() -> bool:
            self.update(nodes)
            return all(node.log.state() == "ready" for node in nodes)
        return wait_for(reached, seconds)

    def decreases(self) -> int:
        """Decreases in the logs plus invariants that the processes found broken."""
        self.update()
        return sum(log.decreases for node in self.nodes for log in node.logs)

    def broken_invariants(self) -> int:
        return sum(webclient.get_json(node.spec.admin, "/admin/status")["broken_invariants"]
                   for node in self.nodes if node.alive())

    def stop(self) -> None:
        processes = [node.process for node in self.nodes if node.process] + list(self.platform.values())
        for process in processes:
            end(process, signal.SIGCONT)
            end(process, signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for process in processes:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                end(process, signal.SIGKILL)
                process.wait()


def end(process: subprocess.Popen, number: signal.Signals) -> None:
    if process.poll() is None:
        os.kill(process.pid, number)


def set_mode(endpoint: str, mode: str, **details: int) -> None:
    webclient.post_json(endpoint, "/admin/mode", json.dumps({"mode": mode, **details}).encode())


def answers(endpoint: str) -> bool:
    try:
        return webclient.call("GET", endpoint, "/admin/stats")[0] == 200
    except OSError:
        return False


def wait_for(condition: Callable[[], bool], seconds: float) -> bool:
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_SECONDS)
    return True
