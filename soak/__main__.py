"""Randomised run of the Riga example with faults, continuous load and checks; see scripts/soak --help."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import random
import re
import shutil
import signal
import sys
import time
from typing import Any, Dict, List, Optional

from soak import deployment as deployments
from soak.checks import Checker, Tickets, closing_reason, read_executions
from soak.client import Client
from soak.faults import START_GRACE_S, Injector, forced_round, plan_round
from soak.load import Load
from soak.process import Process, stop_all
from soak.trace import Trace, around, log_lines

CORES = 4
ADMIN_PORT = 7003
STATUS_INTERVAL_S = 0.3
ROUND_S = 26.0
CONVERGENCE_S = 4.0  # the bound of the requirement, for nodes that have been up
START_S = 20.0  # for nodes that start: they learn from the others, or after 10 s from the configuration service
SETTLED_S = 15.0
QUIET_S = 2.0
OVERTIME_S = 240.0
SANITIZER = re.compile(r"AddressSanitizer|LeakSanitizer|runtime error:|event=invariant_broken")
DESCRIPTION = """Runs the Riga example as processes on loopback addresses under a random mix of faults drawn from the
seed, with continuous load, and checks every answer. Prints one verdict line; on a violation, also the trace around the
first one. Partitions between entry hosts are not made here, since that takes privileges: the tests of the overlay in
virtual time have them."""


class Soak:
    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.folder = deployments.ROOT / "run" / f"soak-{options.seed}"
        shutil.rmtree(self.folder, ignore_errors=True)
        self.deployment = deployments.build(self.folder, options.network)
        self.trace = Trace()
        self.checker = Checker(self.trace, Tickets(), self.deployment.callers)
        self.processes: Dict[str, Process] = {}
        self.statuses: Dict[str, Dict[str, Any]] = {}
        self.ending = False
        self.rounds = 0
        self.slowest_convergence = 0.0
        self.load: Optional[Load] = None
        self.injected: Dict[str, int] = {}

    def add(self, name: str, command: List[str]) -> Process:
        process = Process(name, command, self.folder / "logs", self.trace)
        self.processes[name] = process
        return process

    def make_processes(self) -> None:
        standins = self.options.standins
        self.add("configservice", [f"{standins}/standin_configservice", "--address", self.deployment.config_service,
                                   "--port", "7100"])
        self.add("hostlist", [f"{standins}/standin_hostlist", "--address", self.deployment.host_list_address, "--port",
                              "7200", "--hosts", str(self.folder / "hostlist.json")])
        for server in self.deployment.servers:
            self.add(server.name, [f"{standins}/standin_backend", "--threads", "1", "--log-level", "warning",
                                   "--server", str(server.settings)])
        for host in self.deployment.hosts:
            self.add(host.name, [f"{self.options.bin}/yuccaspoold", "--settings", str(host.settings)])

    # -- status ---------------------------------------------------------------------------------------------

    async def watch_status(self, client: Client) -> None:
        while not self.ending:
            begin = time.time()
            await asyncio.gather(*(self.read_status(client, host) for host in self.deployment.hosts))
            for process in self.processes.values():
                process.reap()
            await asyncio.sleep(max(0.05, begin + STATUS_INTERVAL_S - time.time()))

    async def read_status(self, client: Client, host: deployments.Host) -> None:
        status = await client.call(host.name, host.address, ADMIN_PORT, "GET", "/admin/status", limit=0.5)
        if status is not None and "incarnation" in status:
            status["read"] = time.time()
            self.statuses[host.name] = status
            self.checker.status(time.time(), host.name, status)

    def behind(self, since: float, head: int) -> List[str]:
        """Hosts that have not shown the ticket in force since a time."""
        rows = []
        for host in self.deployment.hosts:
            status = self.statuses.get(host.name)
            if status is None or status["read"] < since or status["in_force"] < head or not status["ready"]:
                rows.append(host.name)
        return rows

    async def wait_converged(self, begin: float, limit: float, names: List[str], what: str) -> None:
        head = self.checker.tickets.head
        while True:
            left = [name for name in self.behind(begin, head) if name in names]
            if not left:
                self.slowest_convergence = max(self.slowest_convergence, time.time() - begin)
                return
            if time.time() > begin + limit + STATUS_INTERVAL_S:
                rows = [f"{name}: {self.statuses.get(name)}" for name in left]
                self.trace.violation(time.time(), "not_converged", f"{what}: ticket {head} after {limit} s: {rows}")
                return
            await asyncio.sleep(0.05)

    async def check_quiet(self, injector: Injector) -> None:
        """After the faults have ended: tickets in force everywhere, and leaving servers left alone."""
        begin = time.time()
        await injector.settle_versions()
        old, young = [], []
        for host in self.deployment.hosts:
            (old if begin - self.processes[host.name].started[-1] > SETTLED_S else young).append(host.name)
        await self.wait_converged(begin, CONVERGENCE_S, old, "nodes that were up")
        await self.wait_converged(begin, START_S, young, "nodes that started")
        begin = time.time()
        await injector.publish(injector.fleet_change(self.rounds), "quiet")
        await self.wait_converged(begin, CONVERGENCE_S, old + young, "ticket in a quiet system")
        injector.round_over.clear()
        await asyncio.sleep(max(0.0, max(self.processes[name].started[-1] for name in old + young)
                                + START_GRACE_S + QUIET_S - time.time()))
        await injector.drain(self.deployment.servers[self.rounds * 7 % len(self.deployment.servers)])
        await asyncio.sleep(QUIET_S)

    # -- run ------------------------------------------------------------------------------------------------

    async def start_all(self, injector: Injector) -> None:
        hosts = {host.name for host in self.deployment.hosts}
        for name, process in self.processes.items():
            if name not in hosts:
                process.start()
        await asyncio.sleep(1.0)
        await injector.publish_first()
        for name in sorted(hosts):
            self.processes[name].start()

    async def run(self) -> None:
        self.make_processes()
        injector = Injector(self.deployment, self.processes, self.checker, self.trace)
        self.injected = injector.injected
        client = Client(lambda name, data: None)
        await self.start_all(injector)
        watcher = asyncio.ensure_future(self.watch_status(client))
        await self.wait_converged(time.time(), START_S, [host.name for host in self.deployment.hosts], "start")
        self.load = Load(self.options.seed, self.deployment.hosts, self.processes, self.checker, self.options.lookups,
                         self.options.requests)
        load = asyncio.ensure_future(self.load.run())
        await self.run_rounds(injector)
        self.load.ending = True
        await load
        self.ending = True
        await watcher
        client.close()
        injector.client.close()

    async def run_rounds(self, injector: Injector) -> None:
        source = random.Random(self.options.seed)
        end = time.time() + self.options.minutes * 60
        while time.time() < end:
            seconds = min(ROUND_S, max(5.0, end - time.time()))
            plan = plan_round(source, seconds)
            if self.rounds % 3 == 0:
                plan = sorted(plan + forced_round(source, seconds), key=lambda fault: fault.at)
            self.rounds += 1
            self.trace.event(f"round {self.rounds}")
            await injector.run_round(plan, seconds)
            await self.check_quiet(injector)

    # -- afterwards -----------------------------------------------------------------------------------------

    def check_closed(self) -> None:
        """Connections that closed without a reply to a request that was sent before a planned stop drained."""
        assert self.load is not None
        draining = self.event_times("event=lifecycle", "to=draining")
        for exchange in self.load.closed:
            process = self.processes[exchange.host]
            reason = closing_reason(exchange, process.kills, draining.get(exchange.host, []), process.started)
            self.checker.counts[f"closed_{reason}"] += 1
            if reason == "other":
                self.trace.violation(exchange.ended, "closed_without_reply",
                                     f"{exchange.host} {exchange.kind} sent {exchange.ended - exchange.sent:.3f} s before")

    def event_times(self, *parts: str) -> Dict[str, List[float]]:
        times: Dict[str, List[float]] = {}
        for path in sorted((self.folder / "logs").glob("entry-*.log")):
            for when, line in log_lines(path):
                if all(part in line for part in parts):
                    times.setdefault(path.stem.split(".")[0], []).append(when)
        return times

    def check_logs(self) -> None:
        for path in sorted((self.folder / "logs").glob("*.log")):
            for when, line in log_lines(path):
                if SANITIZER.search(line):
                    self.trace.violation(when, "daemon_log", f"{path.stem}: {line[:400]}")
                    break

    def finish(self) -> int:
        stop_all(self.processes)
        if self.load is not None:
            self.check_closed()
        self.check_logs()
        self.checker.executions(read_executions(self.folder / "executions"))
        self.write_trace()
        return self.report()

    def write_trace(self) -> None:
        rows = [f"{when:.3f} {text}" for when, text in self.trace.events]
        rows += [f"{violation.when:.3f} VIOLATION {violation.name} {violation.detail}"
                 for violation in self.trace.violations]
        (self.folder / "trace.txt").write_text("\n".join(sorted(rows)) + "\n")

    def report(self) -> int:
        counts = self.checker.counts
        violations = sorted(self.trace.violations)
        if violations:
            first = violations[0]
            print(f"first violation: {first.name}: {first.detail}")
            for line in around(self.trace, self.folder / "logs", first.when):
                print("  " + line)
            names = sorted({violation.name for violation in violations})
            print("violations by name: " + " ".join(
                f"{name}={sum(row.name == name for row in violations)}" for name in names))
        if self.options.verbose:
            print("counts: " + " ".join(f"{name}={counts[name]}" for name in sorted(counts)))
            print("faults: " + " ".join(f"{name}={self.injected[name]}" for name in sorted(self.injected)))
        fields = dict(
            seed=self.options.seed, minutes=self.options.minutes, rounds=self.rounds,
            faults=sum(self.injected.values()), tickets=self.checker.tickets.head, lookups=counts["lookup_sent"],
            answered=counts["lookup_answered"], complete=counts["complete"], requests=counts["execute_sent"],
            ids=len(self.checker.ids), executions=counts["executions"],
            converged_s=f"{self.slowest_convergence:.1f}", violations=len(violations))
        verdict = "violated" if violations else "ok"
        print(f"soak verdict={verdict} " + " ".join(f"{key}={value}" for key, value in fields.items()), flush=True)
        return 1 if violations else 0


def parse(arguments: List[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/soak", description=DESCRIPTION)
    parser.add_argument("--seed", type=int, required=True, help="seed of faults and load")
    parser.add_argument("--minutes", type=float, required=True, help="length of the run, without start and stop")
    parser.add_argument("--bin", default="build/bin", help="folder with yuccaspoold")
    parser.add_argument("--standins", default="build/bin", help="folder with the stand-ins")
    parser.add_argument("--network", default="127.30", help="first two parts of all addresses")
    parser.add_argument("--lookups", type=float, default=120.0, help="lookups a second")
    parser.add_argument("--requests", type=float, default=12.0, help="new non-idempotent requests a second")
    parser.add_argument("--verbose", action="store_true", help="print counts before the verdict")
    return parser.parse_args(arguments)


def on_signal(number: int, frame: Any) -> None:
    raise KeyboardInterrupt


def main() -> int:
    options = parse(sys.argv[1:])
    signal.signal(signal.SIGTERM, on_signal)
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[:CORES])
    soak = Soak(options)
    try:
        asyncio.run(asyncio.wait_for(soak.run(), options.minutes * 60 + OVERTIME_S))
    except asyncio.TimeoutError:
        soak.trace.violation(time.time(), "soak_failed", "the run did not end in time")
    finally:
        code = soak.finish()
    return code


if __name__ == "__main__":
    sys.exit(main())
