"""The plan of faults, drawn from the seed alone, and the injector that carries it out."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any, Awaitable, Callable, Dict, List, Set, Tuple

from soak.checks import Checker, Tickets
from soak.client import Client
from soak.deployment import Deployment, Server, service_state
from soak.process import STOP_LIMIT_S, Process
from soak.trace import Trace

SERVER_ADMIN_PORT, CONFIG_PORT, HOST_LIST_PORT = 8100, 7100, 7200
MEAN_GAP_S = 0.7  # between faults; most last for several seconds, so that several are in force at a time
READY_TRIES = 100
LAYOUT_CYCLE = [[1], [1, 2], [2], [1, 2]]
DRAIN_OBSERVED_S = 3.5  # after this no new work may reach a leaving server; requests under way still end
DRAIN_WATCH_S = 2.5
MAX_LAG_S = 5.5  # of the host list
START_GRACE_S = 5.0  # a node that started so recently may not know yet which servers are leaving

# Kind of fault, how often it is drawn, and the bounds of its length in seconds.
KINDS: List[Tuple[str, int, float, float]] = [
    ("host_kill", 6, 0.1, 6.0), ("host_pause", 8, 0.2, 20.0), ("host_stop", 6, 0.1, 4.0),
    ("domain_loss", 1, 1.0, 8.0), ("server_kill", 4, 0.2, 5.0), ("server_pause", 3, 0.2, 5.0),
    ("server_drain", 4, 6.0, 6.0), ("server_slow", 4, 2.0, 10.0), ("server_shed", 3, 2.0, 8.0),
    ("server_straggle", 4, 2.0, 10.0), ("server_refuse", 3, 1.0, 6.0), ("server_cut", 4, 0.0, 0.0),
    ("server_lie", 3, 2.0, 10.0), ("version_add", 4, 0.5, 4.0), ("version_drop", 2, 0.0, 0.0),
    ("ticket_valid", 5, 0.0, 0.0), ("ticket_invalid", 4, 0.0, 0.0), ("ticket_burst", 2, 0.0, 0.0),
    ("ticket_race", 4, 0.0, 0.0), ("repartition", 4, 0.0, 0.0), ("config_down", 3, 1.0, 12.0),
    ("config_stale", 3, 1.0, 12.0), ("hosts_down", 2, 1.0, 12.0), ("hosts_stale", 2, 1.0, 12.0),
    ("hosts_lag", 2, 1.0, 12.0), ("hosts_wrong", 3, 2.0, 10.0),
]


@dataclass(frozen=True)
class Fault:
    at: float
    kind: str
    seconds: float
    pick: int  # which target, and other choices of the fault


def plan_round(source: random.Random, seconds: float) -> List[Fault]:
    """Faults of one round: kinds by weight, lengths evenly distributed on a logarithmic scale."""
    faults: List[Fault] = []
    at = source.expovariate(1 / MEAN_GAP_S)
    while at < seconds:
        kind, _, low, high = source.choices(KINDS, [row[1] for row in KINDS])[0]
        length = low if low >= high else low * (high / low) ** source.random()
        faults.append(Fault(at, kind, length, source.randrange(1 << 30)))
        at += source.expovariate(1 / MEAN_GAP_S)
    return faults


def forced_round(source: random.Random, seconds: float) -> List[Fault]:
    """One fault of each kind in random order, so that a short run has all kinds too."""
    kinds = source.sample(KINDS, len(KINDS))
    step = seconds / len(kinds)
    return [Fault(index * step, kind, low if low >= high else source.uniform(low, high), source.randrange(1 << 30))
            for index, (kind, _, low, high) in enumerate(kinds)]


class Injector:
    def __init__(self, deployment: Deployment, processes: Dict[str, Process], checker: Checker, trace: Trace) -> None:
        self.deployment = deployment
        self.processes = processes
        self.checker = checker
        self.trace = trace
        self.tickets: Tickets = checker.tickets
        self.client = Client(lambda name, data: None)
        self.round_over = asyncio.Event()
        self.tasks: Set[asyncio.Task] = set()
        self.leaving_hosts: Dict[str, int] = {}
        self.leaving_servers: Dict[str, int] = {}
        self.modes: Dict[str, List[str]] = {"config": [], "hosts": []}
        self.lags = 0
        self.host_list_changes: List[float] = []  # times at which the host list was or became wrong or late
        self.version = {service: 1 for service in deployment.services}
        self.layout_step = {service: 0 for service, layouts in deployment.services.items() if len(layouts) > 1}
        self.publishing = asyncio.Lock()
        self.injected: Dict[str, int] = {}
        for service in deployment.services:
            self.checker.versions[service] = {1}

    # -- rounds ---------------------------------------------------------------------------------------------

    async def run_round(self, faults: List[Fault], seconds: float) -> None:
        """Injects the faults of a round and undoes all that are still in force at its end."""
        self.round_over.clear()
        begin = time.time()
        for fault in faults:
            await asyncio.sleep(max(0.0, begin + fault.at - time.time()))
            self.launch(fault)
        await asyncio.sleep(max(0.0, begin + seconds - time.time()))
        self.round_over.set()
        while self.tasks:
            await asyncio.wait(set(self.tasks))
        await self.check_platform_up()
        self.trace.event("faults end")

    def launch(self, fault: Fault) -> None:
        self.injected[fault.kind] = self.injected.get(fault.kind, 0) + 1
        action: Callable[[Fault], Awaitable[None]] = getattr(self, f"do_{fault.kind}")
        task = asyncio.ensure_future(action(fault))
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.exception() is not None:
            self.trace.violation(time.time(), "soak_failed", repr(task.exception()))

    async def hold(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self.round_over.wait(), seconds)
        except asyncio.TimeoutError:
            pass

    # -- entry hosts ----------------------------------------------------------------------------------------

    def host(self, fault: Fault) -> Process:
        return self.processes[self.deployment.hosts[fault.pick % len(self.deployment.hosts)].name]

    async def do_host_kill(self, fault: Fault) -> None:
        process = self.host(fault)
        process.kill()
        await self.hold(fault.seconds)
        process.start()

    async def do_host_pause(self, fault: Fault) -> None:
        process = self.host(fault)
        run = process.pause()
        await self.hold(fault.seconds)
        process.resume(run)

    async def do_host_stop(self, fault: Fault) -> None:
        process = self.host(fault)
        announced = fault.pick % 2 == 0
        if announced:
            await self.list_host(process.name, True)
        process.stop()
        limit = time.time() + STOP_LIMIT_S
        while not await process.wait_end(1.0):
            if process.paused_since is not None:
                limit = max(limit, time.time() + STOP_LIMIT_S)
            if time.time() > limit:
                self.trace.violation(time.time(), "planned_stop_too_long", process.name)
                process.kill()
        await self.hold(fault.seconds)
        process.start()
        if announced:
            await self.list_host(process.name, False)

    async def do_domain_loss(self, fault: Fault) -> None:
        domain = self.deployment.domains[fault.pick % len(self.deployment.domains)]
        lost = [self.processes[host.name] for host in self.deployment.hosts if host.domain == domain]
        self.trace.event(f"domain {domain} lost")
        for process in lost:
            process.kill()
        await self.hold(fault.seconds)
        for process in lost:
            process.start()

    # -- backend servers ------------------------------------------------------------------------------------

    def server(self, fault: Fault) -> Server:
        return self.deployment.servers[fault.pick % len(self.deployment.servers)]

    async def control(self, server: Server, command: Dict[str, Any]) -> bool:
        reply = await self.client.call(server.name, server.admin, SERVER_ADMIN_PORT, "POST", "/admin/control", command)
        return reply is not None

    async def set_and_reset(self, fault: Fault, change: Dict[str, Any], normal: Dict[str, Any]) -> None:
        server = self.server(fault)
        self.trace.event(f"{server.name} {change} for {fault.seconds:.1f} s")
        await self.control(server, change)
        await self.hold(fault.seconds)
        await self.control(server, normal)

    async def restore_server(self, server: Server) -> None:
        """A server starts with version 1 and gets the current one when it is up."""
        for _ in range(READY_TRIES):
            if await self.control(server, {"add_version": self.version[server.service]}):
                return
            await asyncio.sleep(0.05)

    async def do_server_kill(self, fault: Fault) -> None:
        server = self.server(fault)
        process = self.processes[server.name]
        process.kill()
        await self.hold(fault.seconds)
        process.start()
        await self.restore_server(server)

    async def do_server_pause(self, fault: Fault) -> None:
        process = self.processes[self.server(fault).name]
        run = process.pause()
        await self.hold(fault.seconds)
        process.resume(run)

    async def do_server_drain(self, fault: Fault) -> None:
        await self.drain(self.server(fault))

    async def drain(self, server: Server) -> None:
        if server.name in self.leaving_servers:
            return
        begin = time.time()
        runs = self.processes[server.name].runs
        self.leaving_servers[server.name] = 1
        self.trace.event(f"{server.name} drains")
        reached = await self.control(server, {"drain": True})
        await self.push_host_list()
        await self.hold(DRAIN_OBSERVED_S)
        await self.hold(DRAIN_WATCH_S)
        stats = await self.client.call(server.name, server.admin, SERVER_ADMIN_PORT, "GET", "/admin/stats")
        if reached and stats is not None and runs == self.processes[server.name].runs:
            self.checker.draining(time.time(), server.name, stats, self.drain_excused(begin, time.time()))
        await self.control(server, {"drain": False})
        self.leaving_servers.pop(server.name, None)
        await self.push_host_list()
        self.trace.event(f"{server.name} serves again")

    def drain_excused(self, begin: float, end: float) -> bool:
        """A node that was paused or that started meanwhile, or a wrong host list, cannot know of it in time."""
        for host in self.deployment.hosts:
            process = self.processes[host.name]
            if process.paused_during(begin, end) or process.started_during(begin - START_GRACE_S, end):
                return True
        return bool(self.modes["hosts"]) or self.lags > 0 or any(
            begin - MAX_LAG_S <= moment <= end for moment in self.host_list_changes)

    async def do_server_slow(self, fault: Fault) -> None:
        await self.set_and_reset(fault, {"slow_factor": 5 + fault.pick % 45}, {"slow_factor": 1})

    async def do_server_shed(self, fault: Fault) -> None:
        """So slow that the queue is full, and the leafs shed."""
        await self.set_and_reset(fault, {"slow_factor": 400}, {"slow_factor": 1})

    async def do_server_straggle(self, fault: Fault) -> None:
        change = {"straggler_probability": 0.1 + fault.pick % 40 / 100, "straggler_factor": 10 + fault.pick % 90}
        await self.set_and_reset(fault, change, {"straggler_probability": 0})

    async def do_server_refuse(self, fault: Fault) -> None:
        await self.set_and_reset(fault, {"refuse": True, "cut_connections": True}, {"refuse": False})

    async def do_server_cut(self, fault: Fault) -> None:
        """Cuts the connections of several servers at about the same time."""
        for step in range(1 + fault.pick % 4):
            server = self.deployment.servers[(fault.pick // 4 + step) % len(self.deployment.servers)]
            self.trace.event(f"{server.name} connections cut")
            await self.control(server, {"cut_connections": True})

    async def do_server_lie(self, fault: Fault) -> None:
        await self.set_and_reset(fault, {"lie": True}, {"lie": False})

    # -- index versions -------------------------------------------------------------------------------------

    async def do_version_add(self, fault: Fault) -> None:
        """Adds a version at the servers of a service, one after the other in random order."""
        service = list(self.version)[fault.pick % len(self.version)]
        self.version[service] += 1
        version = self.version[service]
        self.checker.versions[service].add(version)
        self.trace.event(f"{service} version {version} added within {fault.seconds:.1f} s")
        servers = [server for server in self.deployment.servers if server.service == service]
        random.Random(fault.pick).shuffle(servers)
        for server in servers:
            await self.control(server, {"add_version": version})
            await self.hold(fault.seconds / len(servers))

    async def do_version_drop(self, fault: Fault) -> None:
        """Drops the older version at all servers of a service."""
        service = list(self.version)[fault.pick % len(self.version)]
        old = self.version[service] - 1
        self.trace.event(f"{service} version {old} dropped")
        for server in self.deployment.servers:
            if server.service == service:
                await self.control(server, {"drop_version": old})

    async def settle_versions(self) -> None:
        """Gives every server the newest version, also those that were down when it was added."""
        for server in self.deployment.servers:
            await self.control(server, {"add_version": self.version[server.service]})

    # -- tickets --------------------------------------------------------------------------------------------

    async def publish_body(self, body: Any) -> int:
        reply = await self.client.call("config", self.deployment.config_service, CONFIG_PORT, "POST",
                                       "/admin/publish", body)
        if reply is None:
            raise RuntimeError("the configuration service took no ticket")
        return int(reply["number"])

    async def publish(self, objects: List[Dict[str, Any]], comment: str) -> int:
        async with self.publishing:
            number = self.tickets.head + 1
            # Nodes may use the ticket before the reply of the configuration service is read.
            self.tickets.publish(number, True, objects)
            given = await self.publish_body({"ticket": number, "comment": comment, "objects": objects})
        self.trace.event(f"ticket {given} published: {comment}")
        if given != number:
            raise RuntimeError(f"ticket {number} was published as {given}")
        return given

    async def publish_invalid(self, body: Any) -> None:
        async with self.publishing:
            number = self.tickets.head + 1
            self.tickets.publish(number, False, [])
            await self.publish_body(body(number))
        self.trace.event(f"ticket {number} published: invalid")

    def fleet_change(self, pick: int) -> List[Dict[str, Any]]:
        state = dict(self.deployment.fleet, extra_load_percent=3 + pick % 5)
        return [{"kind": "fleet", "name": "fleet", "state": state}]

    async def do_ticket_valid(self, fault: Fault) -> None:
        await self.publish(self.fleet_change(fault.pick), "fleet change")

    async def do_ticket_invalid(self, fault: Fault) -> None:
        bodies: List[Callable[[int], Any]] = [
            lambda number: b"not JSON",
            lambda number: {"ticket": number, "objects": [{"kind": "service", "name": "kiosk", "state": {}}]},
            lambda number: {"ticket": number + 1, "objects": self.fleet_change(1)},
            lambda number: {"ticket": number, "objects": self.fleet_change(1) * 2},
            lambda number: {"ticket": number, "objects": [{"kind": "planet", "name": "x", "state": None}]},
        ]
        await self.publish_invalid(bodies[fault.pick % len(bodies)])

    async def do_ticket_burst(self, fault: Fault) -> None:
        for step in range(5 + fault.pick % 15):
            await self.publish(self.fleet_change(fault.pick + step), "burst")

    async def do_ticket_race(self, fault: Fault) -> None:
        """Two operators publish a ticket with the same number at once; the second one becomes invalid."""
        async with self.publishing:
            number = self.tickets.head + 1
            objects = self.fleet_change(fault.pick)
            self.tickets.publish(number, True, objects)
            self.tickets.publish(number + 1, False, [])
            body = {"ticket": number, "comment": "race", "objects": objects}
            given = await asyncio.gather(self.publish_body(body), self.publish_body(body))
        self.trace.event(f"tickets {sorted(given)} published by two operators at once")

    async def do_repartition(self, fault: Fault) -> None:
        """Adds the second layout of a service, or drops the one that was in use before."""
        service = sorted(self.layout_step)[fault.pick % len(self.layout_step)]
        self.layout_step[service] += 1
        layouts = LAYOUT_CYCLE[self.layout_step[service] % len(LAYOUT_CYCLE)]
        state = service_state(self.deployment, service, layouts)
        await self.publish([{"kind": "service", "name": service, "state": state}], f"{service} layouts {layouts}")

    async def publish_first(self) -> None:
        services = [{"kind": "service", "name": service, "state": service_state(self.deployment, service, [1])}
                    for service in self.deployment.services]
        callers = [{"kind": "caller", "name": name, "state": state}
                   for name, state in self.deployment.callers.items()]
        await self.publish(self.fleet_change(2), "fleet")
        await self.publish(services, "services")
        await self.publish(callers, "callers")

    # -- the platform ---------------------------------------------------------------------------------------

    async def set_mode(self, part: str, mode: Dict[str, Any]) -> None:
        address, port = ((self.deployment.config_service, CONFIG_PORT) if part == "config"
                         else (self.deployment.host_list_address, HOST_LIST_PORT))
        await self.client.call(part, address, port, "POST", "/admin/mode", mode)
        self.trace.event(f"{part} mode {mode}")

    async def platform_fault(self, part: str, mode: Dict[str, Any], seconds: float) -> None:
        """The fault that began last is in force; the part is up again when all have ended."""
        self.modes[part].append(mode["mode"])
        if part == "hosts":
            self.host_list_changes.append(time.time())
        await self.set_mode(part, mode)
        await self.hold(seconds)
        self.modes[part].remove(mode["mode"])
        if part == "hosts":
            self.host_list_changes.append(time.time())
        if not self.modes[part]:
            await self.set_mode(part, {"mode": "up"})

    async def check_platform_up(self) -> None:
        """A fault that outlives its round would make the checks of the quiet system wrong."""
        for address, port in ((self.deployment.config_service, CONFIG_PORT),
                              (self.deployment.host_list_address, HOST_LIST_PORT)):
            for _ in range(READY_TRIES):
                stats = await self.client.call("platform", address, port, "GET", "/admin/stats")
                # A list that was set while there was a lag is shown when the lag has passed.
                if stats is None or stats.get("visible_version") == stats.get("version"):
                    break
                await asyncio.sleep(0.1)
            if stats is None or stats["mode"] != "up" or stats.get("lag_ms", 0) != 0:
                raise RuntimeError(f"{address} is not up after a round: {stats}")

    async def do_config_down(self, fault: Fault) -> None:
        await self.platform_fault("config", {"mode": "down"}, fault.seconds)

    async def do_config_stale(self, fault: Fault) -> None:
        head = max(0, self.tickets.head - fault.pick % 8 - 1)
        await self.platform_fault("config", {"mode": "stale", "head": head}, fault.seconds)

    async def do_hosts_down(self, fault: Fault) -> None:
        await self.platform_fault("hosts", {"mode": "down"}, fault.seconds)

    async def do_hosts_stale(self, fault: Fault) -> None:
        await self.platform_fault("hosts", {"mode": "stale"}, fault.seconds)

    async def set_lag(self, lag_ms: int) -> None:
        await self.client.call("hosts", self.deployment.host_list_address, HOST_LIST_PORT, "POST", "/admin/lag",
                               {"lag_ms": lag_ms})
        self.host_list_changes.append(time.time())
        self.trace.event(f"hosts lag {lag_ms} ms")

    async def do_hosts_lag(self, fault: Fault) -> None:
        self.lags += 1
        await self.set_lag(500 + fault.pick % int(MAX_LAG_S * 1000 - 500))
        await self.hold(fault.seconds)
        self.lags -= 1
        if self.lags == 0:
            await self.set_lag(0)

    async def do_hosts_wrong(self, fault: Fault) -> None:
        """The host list names a live host as leaving."""
        name = self.host(fault).name
        await self.list_host(name, True)
        await self.hold(fault.seconds)
        await self.list_host(name, False)

    async def list_host(self, name: str, leaving: bool) -> None:
        self.leaving_hosts[name] = self.leaving_hosts.get(name, 0) + (1 if leaving else -1)
        self.trace.event(f"hosts: {name} {'leaving' if leaving else 'no longer leaving'}")
        await self.push_host_list()

    async def push_host_list(self) -> None:
        hosts = [dict(row, state="leaving" if self.leaving_hosts.get(row["host"], 0) > 0 else "live")
                 for row in self.deployment.host_list["hosts"]]
        servers = [{"server": name, "state": "leaving"} for name in sorted(self.leaving_servers)]
        await self.client.call("hosts", self.deployment.host_list_address, HOST_LIST_PORT, "POST", "/admin/hosts",
                               {"hosts": hosts, "servers": servers})
