"""Continuous load: lookups, and non-idempotent requests with copies and resends."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, Callable, Dict, List, Optional

from soak.checks import LATE_SLACK_S, Checker, IdRecord, Question
from soak.client import Client, Exchange, encode
from soak.deployment import Host
from soak.process import Process

CALLER_PORT = 7001
GRACE_S = 3.0  # after the deadline; a reply that takes longer counts as missing
LAG_TICK_S = 0.01
DELAY_INTERVAL_S = 0.1
GROWTH_DELAY_S = 90.0  # a node without a neighbour's history holds no connections for this long after its start
ADDRESS_TTL_S = 3.0
SIZES = ["sr626", "sr920", "cr2032", "za10", "za312", "za13", "za675"]
MACHINES = 40
LIMITS = [3, 10, 40]
DEADLINES_MS = [300, 800, 1500, 3000]
LOOKUPS = [("kiosk", "kiosk-screen"), ("kiosk", "fitter-planner"), ("fitter", "fitter-planner"),
           ("refill", "refill-clerk"), ("returns", "refill-clerk"), ("kiosk", "refill-clerk")]
LOOKUP_WEIGHTS = [4, 2, 3, 1, 1, 1]
EXECUTES = ["refill", "refill", "returns"]


class Load:
    def __init__(self, seed: int, hosts: List[Host], processes: Dict[str, Process], checker: Checker,
                 lookups_per_s: float, executes_per_s: float) -> None:
        self.random = random.Random(seed)
        self.hosts = {host.name: host for host in hosts}
        self.names = [host.name for host in hosts]
        self.processes = processes
        self.checker = checker
        self.rates = (lookups_per_s, executes_per_s)
        self.client = Client(self.on_unexpected)
        self.steered: Dict[str, List[str]] = {}
        self.lags: List[float] = []  # times at which the event loop was late, with
        self.lag_values: List[float] = []  # how late it was
        self.closed: List[Exchange] = []
        self.tasks: set = set()
        self.keys = 0
        self.ending = False

    def on_unexpected(self, host: str, data: bytes) -> None:
        self.checker.fail(time.time(), "reply_without_request", f"{host} {data[:200]!r}")

    async def run(self) -> None:
        jobs = [self.watch_lag(), self.watch_scheduling(), self.arrivals(self.rates[0], self.lookup),
                self.arrivals(self.rates[1], self.order), self.refresh_addresses()]
        await asyncio.gather(*jobs)
        while self.tasks:
            await asyncio.wait(set(self.tasks))
        self.client.close()

    async def watch_lag(self) -> None:
        """A caller that was not scheduled reads replies late; this measures by how much."""
        while not self.ending:
            before = time.time()
            await asyncio.sleep(LAG_TICK_S)
            late = time.time() - before - LAG_TICK_S
            if late > LAG_TICK_S:
                self.lags.append(before)
                self.lag_values.append(late)

    async def watch_scheduling(self) -> None:
        while not self.ending:
            for name in self.names:
                self.processes[name].sample_delay()
            await asyncio.sleep(DELAY_INTERVAL_S)

    def lag_during(self, begin: float, end: float) -> float:
        worst = 0.0
        for index in range(len(self.lags) - 1, -1, -1):
            if self.lags[index] + self.lag_values[index] < begin - 1.0:
                break
            if self.lags[index] <= end and self.lags[index] + self.lag_values[index] >= begin:
                worst = max(worst, self.lag_values[index])
        return worst

    async def arrivals(self, rate: float, make: Callable[[], Any]) -> None:
        """Open-loop arrivals at random times."""
        due = time.time()
        while not self.ending:
            due += self.random.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.time()))
            task = asyncio.ensure_future(make())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def refresh_addresses(self) -> None:
        while not self.ending:
            for caller in sorted({caller for _, caller in LOOKUPS}):
                exchange = await self.send("addresses", self.random.choice(self.names), "GET",
                                           f"/v1/addresses?caller={caller}", None, 1000)
                rows = exchange.reply.get("addresses", [])
                if exchange.status == 200:
                    self.steered[caller] = [row["host"] for row in rows if row["host"] in self.hosts]
            await asyncio.sleep(ADDRESS_TTL_S)

    def pick(self, caller: str) -> str:
        """Mostly a host that callers are told to use; sometimes any host, also one that is down."""
        steered = self.steered.get(caller)
        if steered and self.random.random() < 0.7:
            return self.random.choice(steered[:3])
        return self.random.choice(self.names)

    async def send(self, kind: str, host: str, method: str, path: str, body: Optional[Any],
                   deadline_ms: int) -> Exchange:
        exchange = Exchange(host, kind, deadline_s=deadline_ms / 1000)
        request = encode(method, path, body, deadline_ms)
        await self.client.send(exchange, self.hosts[host].address, CALLER_PORT, request,
                               exchange.deadline_s + GRACE_S)
        self.note(exchange)
        return exchange

    def note(self, exchange: Exchange) -> None:
        self.checker.counts[f"{exchange.kind}_sent"] += 1
        process = self.processes[exchange.host]
        paused = process.paused_during(exchange.sent, exchange.ended)
        if exchange.status:
            if exchange.ended - exchange.sent > exchange.deadline_s + LATE_SLACK_S:
                process.sample_delay()
            lag = self.lag_during(exchange.sent, exchange.ended) + process.delay_during(exchange.sent, exchange.ended)
            self.checker.answer(exchange, paused, lag)
            if exchange.reply.get("reason") == "wrong_node":
                age = exchange.ended - process.started[-1]
                self.checker.counts[f"wrong_node_age_{'below' if age < GROWTH_DELAY_S else 'above'}_growth_delay"] += 1
            return
        self.checker.counts[exchange.failure] += 1
        if exchange.failure == "closed":
            self.closed.append(exchange)
        elif exchange.failure == "no_reply" and not paused and not process.killed_during(
                exchange.sent - 0.1, exchange.ended):
            self.checker.fail(exchange.ended, "no_reply", f"{exchange.host} {exchange.kind} within the deadline of "
                                                          f"{exchange.deadline_s * 1000:.0f} ms plus {GRACE_S} s")

    async def lookup(self) -> None:
        service, caller = self.random.choices(LOOKUPS, LOOKUP_WEIGHTS)[0]
        terms = (self.random.choice(SIZES), f"machine-{self.random.randrange(MACHINES)}")
        question = Question(caller, service, terms, self.random.choice(LIMITS))
        body = {"caller": caller, "service": service, "query": {"terms": list(terms)}, "limit": question.limit}
        exchange = await self.send("lookup", self.pick(caller), "POST", "/v1/query", body,
                                   self.random.choice(DEADLINES_MS))
        if exchange.status:
            self.checker.lookup(exchange, question)

    async def order(self) -> None:
        """Gets an id and sends the request with it, often as several copies and again later."""
        service = self.random.choice(EXECUTES)
        reply = await self.send("ids", self.pick("refill-clerk"), "POST", "/v1/request-ids",
                                {"caller": "refill-clerk", "service": service, "count": 1}, 1000)
        for request_id in reply.reply.get("ids", []):
            self.keys += 1
            self.checker.ids[request_id] = IdRecord(service, f"slip-{self.keys}")
            await self.run_order(request_id)

    async def run_order(self, request_id: str) -> None:
        for _ in range(self.random.choice([1, 2, 3, 4])):
            copies = 1 if self.random.random() < 0.6 else self.random.choice([2, 3])
            # Two copies may go to one host at the same time.
            jobs = [self.execute(request_id, self.pick("refill-clerk")) for _ in range(copies)]
            await asyncio.gather(*jobs)
            await asyncio.sleep(self.random.choice([0.0, 0.05, 0.5, 3.0]))
            if self.random.random() < 0.3:
                await self.ask_outcome(request_id)

    async def execute(self, request_id: str, host: str) -> None:
        record = self.checker.ids[request_id]
        body = {"request_id": request_id, "caller": "refill-clerk", "service": record.service, "key": record.key,
                "body": {"request_id": request_id, "cells": 40}}
        exchange = await self.send("execute", host, "POST", "/v1/requests", body, self.random.choice(DEADLINES_MS))
        if exchange.status:
            self.checker.execution_reply(exchange, request_id)

    async def ask_outcome(self, request_id: str) -> None:
        exchange = await self.send("outcome", self.pick("refill-clerk"), "GET", f"/v1/requests/{request_id}", None,
                                   1000)
        if exchange.status:
            self.checker.execution_reply(exchange, request_id)
