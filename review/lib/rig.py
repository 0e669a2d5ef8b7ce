"""Stand-ins and helpers that the review's scripts share: store, leafs, clients, and nodes as processes.

The nodes are started with the command of deploy/system.toml, each on a loopback address of its own, with settings as
deploy/settings.ini.template renders them for a small deployment. Everything else runs inside this process.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from urllib.parse import parse_qsl, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE = ROOT / "target" / "bin" / "yuccaspool-node"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "pupu76.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2

HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S  # silence after which the store removes an entry
DRAIN_S = 3.0
GRACE_S = 6
CONFIG_APPLY_S = 3.0
STABILITY_S = 4.0
RECOVERY_S = 12.0
HISTORY_S = 20.0
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
STORE_ANSWER_S, STORE_BYTES_PER_S = 0.004, 125_000_000  # 4 ms an answer, 1,000 Mbit/s
VALUE_BYTES = 1_048_576
MEMORY_MB = 260


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(folder / "record.txt", "w", buffering=1)

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text, show=False):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        if show:
            print(line, flush=True)


# -- HTTP -------------------------------------------------------------------------------------------------------


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            name = name.strip().lower()
            fields[name] = fields[name] + ", " + value.strip() if name in fields else value.strip()
    return lines[0], fields


def encode(status, fields, body):
    text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} -\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


class Server:
    """HTTP/1.1 server: one request at a time on a connection. A handler that returns None resets the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.connections = set()

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.connection, address, port, backlog=512, limit=1 << 20)

    async def connection(self, reader, writer):
        self.connections.add(writer)
        work = None
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                work = asyncio.ensure_future(self.handler(method, target, fields, body))
                gone = asyncio.ensure_future(reader.read(1))  # the node sends nothing before it has its answer
                gone.add_done_callback(lambda task: task.cancelled() or task.exception())
                await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()  # the peer has closed the connection
                    return
                reply = work.result()
                if reply is None:
                    writer.transport.abort()
                    return
                writer.write(encode(*reply))
                await writer.drain()
                if not gone.done():
                    # The pending read takes the first byte of the next request.
                    byte = await gone
                    if byte == b"":
                        return
                    reader._buffer[0:0] = byte  # noqa: SLF001
                elif gone.result() == b"":
                    return
                else:
                    reader._buffer[0:0] = gone.result()  # noqa: SLF001
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass  # the peer has gone, or the script ends
        finally:
            if work is not None and not work.done():
                work.cancel()
            self.connections.discard(writer)
            writer.close()

    def stop_listening(self):
        if self.server is not None:
            self.server.close()

    def crash(self):
        """The process ends: nothing listens any more and all connections are reset."""
        self.stop_listening()
        for writer in list(self.connections):
            writer.transport.abort()


# -- store ------------------------------------------------------------------------------------------------------


class Store:
    """The platform's store, as PROTOCOL.md describes it. Acknowledges each change at once."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key: (revision, JSON text of the item)
        self.history = []  # (time, revision, key, JSON text of the event)
        self.revision = 100
        self.dropped = 0  # changes up to this revision are no longer in the history
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.snapshots = []  # (time, revision, items) for reads that may be stale
        self.keep_snapshots = False
        self.lag_s = None  # function of the key after which a page begins: by how many seconds a stale read is old
        self.link_free_at = 0.0

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        assert len(data) <= VALUE_BYTES and len(key) <= 200
        self.revision += 1
        text = json.dumps({"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                           "created": self.revision, "lease": 0}, separators=(",", ":"))
        self.items[key] = (self.revision, text)
        self.note(key, text)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note(key, json.dumps({"key": key, "revision": self.revision, "tombstone": True}))

    def note(self, key, text):
        now = time.monotonic()
        self.history.append((now, self.revision, key, text))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self.dropped = self.history.pop(0)[1]
        if self.keep_snapshots:
            self.snapshots.append((now, self.revision, dict(self.items)))
        self.changed.set()
        self.changed = asyncio.Event()

    def state(self, lag_s):
        """The state as it was some seconds ago."""
        if lag_s <= 0:
            return self.revision, self.items
        then = time.monotonic() - lag_s
        known = [row for row in self.snapshots if row[0] <= then]
        row = known[-1] if known else self.snapshots[0]
        return row[1], row[2]

    async def handle(self, method, target, fields, body):
        status, headers, answer = await self.answer(target)
        now = time.monotonic()
        self.link_free_at = max(self.link_free_at, now) + len(answer) / STORE_BYTES_PER_S
        await asyncio.sleep(STORE_ANSWER_S + self.link_free_at - now)
        return status, headers, answer

    async def answer(self, target):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        headers = {"Content-Type": "application/json"}
        if parts.path == "/-/kv-range":
            return 200, headers, self.page(query)
        if parts.path == "/-/kv-watch":
            return await self.watch(query, headers)
        if parts.path == "/-/kv-key" and query.get("key") in self.items:
            return 200, headers, self.items[query["key"]][1].encode()
        return 404, headers, b"{}"

    def page(self, query):
        stale = query.get("serializable") == "1"
        after = query.get("after", "")
        lag = self.lag_s(after) if stale and self.lag_s is not None else 0
        revision, items = self.state(lag)
        prefix = query.get("pathPrefix", "")
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        taken, size = [], 0
        for key in keys:
            text = items[key][1]
            if taken and (len(taken) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                break
            taken.append(text)
            size += len(text)
        more = len(taken) < len(keys)
        self.record.add(f"store range after={after or '-'} serializable={int(stale)} items={len(taken)} "
                        f"hasMore={int(more)} asOf={revision} (store at {self.revision})")
        return (f'{{"items":[{",".join(taken)}],"hasMore":{"true" if more else "false"},'
                f'"asOf":{revision}}}').encode()

    async def watch(self, query, headers):
        after, prefix = int(query["after"]), query.get("pathPrefix", "")
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.dropped:
                self.record.add(f"store watch after={after}: 410")
                return 410, headers, b"{}"
            events = [text for _, revision, key, text in self.history if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                body = f'{{"events":[{",".join(events)}],"asOf":{self.revision}}}'.encode()
                if events:
                    self.record.add(f"store watch after={after} events={len(events)} bytes={len(body)} "
                                    f"asOf={self.revision}")
                return 200, headers, body
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# -- leafs ------------------------------------------------------------------------------------------------------


class Leaf:
    """One incarnation of a leaf."""

    def __init__(self, rig, leaf_id, service, address, slots=3, work_s=0.02, records=False, zone="a"):
        self.rig = rig
        self.id = leaf_id
        self.service = service
        self.address = address  # (ip, port)
        self.slots = slots
        self.work_s = work_s
        self.records = records
        self.zone = zone
        self.state = "ready"
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.arrivals = []  # (time, request id, target)
        self.broken_off = []  # (time, request id): at work when the leaf ended
        self.at_work = {}
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = Server(self.handle)
        self.ended = False

    async def start(self):
        await self.server.start(*self.address)
        self.publish()

    def publish(self):
        self.sequence += 1
        self.rig.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "concurrency": self.slots, "state": self.state, "warmupLeftMs": 0,
            "sequence": self.sequence, "born": self.born})

    def forget(self):
        self.rig.store.remove(f"servers/{self.id}")

    def end(self):
        self.ended = True
        now = self.rig.record.now()
        self.broken_off += [(now, request) for request in self.at_work.values()]
        self.server.crash()

    async def handle(self, method, target, fields, body):
        if self.ended:
            return None
        path = target.split("?")[0]
        if path == "/health":
            return (200 if self.state == "ready" else 503), {"X-Instance-Id": self.id}, b""
        request = fields.get("x-request-id", "")
        echo = {"X-Request-Id": request}
        wanted = fields.get("x-expect-instance")
        if wanted is not None and wanted != self.id:
            self.rig.record.add(f"leaf {self.id} got {request} for {wanted}: 421, not run")
            return 421, {**echo, "X-Not-Executed": "1", "X-Instance-Id": self.id}, b""
        if not request:
            return 400, {"X-Not-Executed": "1"}, b""
        if self.free.locked() and self.waiting >= 12:
            return 503, {**echo, "X-Not-Executed": "1"}, b""
        limit = float(fields.get("x-deadline", "30000")) / 1000
        self.waiting += 1
        waits = True
        try:
            async with self.free:
                self.waiting -= 1
                waits = False
                token = object()
                self.at_work[token] = request
                self.arrivals.append((self.rig.record.now(), request, target))
                self.rig.record.add(f"leaf {self.id} ({self.service}) runs {request} {method} {target}")
                try:
                    work = self.work_s * self.rig.random.uniform(0.7, 1.3)
                    await asyncio.sleep(min(work, limit))
                    if work > limit:
                        return 504, {**echo, "X-Server-Stamp": self.stamp(request)}, b"deadline"
                finally:
                    self.at_work.pop(token, None)
        finally:
            self.waiting -= waits
        body = b"".join(self.rig.random.randbytes(16) for _ in range(12)) if self.records else f"{self.id} ran {request}\n".encode()
        return 200, {**echo, "X-Server-Stamp": self.stamp(request), "Keep-Alive": "timeout=30"}, body

    def stamp(self, request):
        return f"{self.id}.{request}.{self.rig.random.getrandbits(48):x}"


# -- nodes ------------------------------------------------------------------------------------------------------


class Node:
    def __init__(self, rig, index, zone):
        self.rig = rig
        self.name = f"edge-{zone}-{index + 1}"
        self.ip = f"{rig.network}.0.{index + 1}"
        self.zone = zone
        self.settings = rig.folder / f"{self.name}.ini"
        self.process = None
        self.collector = None
        self.all = []  # every process that was started for this node
        self.starts = []
        self.ends = []

    def write_settings(self):
        ports, rig = self.rig.ports, self.rig
        seeds = ",".join(f"{rig.network}.0.{index + 1}:{ports['control']}" for index in range(min(3, rig.node_count)))
        text = f"""; Settings of a node, rendered from the platform's fields.
[node]
host = {self.name}
failure_domain = {self.zone}
region = riga
processor_share = 0.25

[listen]
callers = {self.ip}:{ports['front']}
readiness = {self.ip}:{ports['ready']}
addresses = {self.ip}:{ports['directory']}

[peers]
port = {ports['internal']}
seeds = {seeds}

[metrics]
port = {ports['metrics']}

[store]
address = {rig.store_address[0]}:{rig.store_address[1]}

[extra_load]
ratio = 0.2
slack = 54

[stop]
grace_s = {GRACE_S}
"""
        self.settings.write_text(text)

    def start(self, collector=False):
        self.write_settings()
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": str(self.rig.folder), "LANG": "C",
                       "YUCCASPOOL_CONFIG": str(self.settings)}
        log = open(self.rig.folder / f"{self.name}.log", "ab")
        output = log
        if collector:
            reader, writer = os.pipe()
            self.collector = subprocess.Popen([sys.executable, "-c", COLLECTOR], stdin=reader, stdout=log,
                                              start_new_session=True)
            os.close(reader)
            output = writer
        self.process = subprocess.Popen([str(NODE)], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=output, stderr=log, start_new_session=True)
        self.all += [self.process] + ([self.collector] if collector else [])
        if collector:
            os.close(output)
        log.close()
        self.starts.append(self.rig.record.now())
        self.rig.record.add(f"node {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.rig.record.add(f"node {self.name} gets {signal.Signals(number).name}", show=True)
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait_end()

    async def wait_end(self, limit_s=10):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.ends.append(self.rig.record.now())
        self.rig.record.add(f"node {self.name} has ended: {self.process.returncode}")

    def resident_mb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    @property
    def front(self):
        return self.ip, self.rig.ports["front"]

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ip, self.rig.ports["ready"], "/-/ready"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False


# Stands for the platform's collector of logs: copies what a node writes.
COLLECTOR = "import os\nwhile True:\n    data = os.read(0, 65536)\n    if not data:\n        break\n    os.write(1, data)\n"


async def call(ip, port, target):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        first, fields = await read_head(reader)
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        return int(first.split(" ")[1]), fields, body
    finally:
        writer.transport.abort()


# -- clients ----------------------------------------------------------------------------------------------------


class Attempt:
    def __init__(self, request, kind, node, sent):
        self.id = request
        self.kind = kind
        self.node = node
        self.sent = sent
        self.ended = None
        self.outcome = "waiting"  # then answered, cut, left (at the deadline) or unsent
        self.status = 0
        self.fields = {}
        self.body = b""
        self.kept = False  # sent on a connection that had carried a request before
        self.first = None  # the attempt that this one repeats


class Kind:
    def __init__(self, name, path, method, per_s, deadline_s, idempotent=True, retries=1):
        self.name, self.path, self.method = name, path, method
        self.per_s, self.deadline_s = per_s, deadline_s
        self.idempotent, self.retries = idempotent, retries


class Client:
    """Asks the directory where to connect, keeps the answer and its connections, repeats as the pages allow."""

    def __init__(self, rig, seed):
        self.rig = rig
        self.random = random.Random(seed)
        self.addresses = []
        self.until = 0.0
        self.idle = []
        self.fixed = None  # one node, as for the requests that are sent directly to each node

    async def lookup(self):
        if self.fixed is not None:
            self.addresses = [self.fixed]
            return
        if time.monotonic() < self.until:
            return
        for node in self.random.sample(self.rig.nodes, min(3, len(self.rig.nodes))):
            try:
                status, _, body = await asyncio.wait_for(
                    call(node.ip, self.rig.ports["directory"],
                         f"/-/lookup?name={HOST}&region=riga&zone={self.random.choice(self.rig.zones)}"), 1)
                value = json.loads(body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if status == 200 and value.get("addrs"):
                self.addresses = [tuple((text.rsplit(":", 1)[0], int(text.rsplit(":", 1)[1]))) for text in value["addrs"]]
                self.until = time.monotonic() + min(5, value["ttl_s"])
                return

    async def connection(self, fresh):
        while self.idle and not fresh:
            reader, writer, node, since = self.idle.pop()
            if node in self.addresses and time.monotonic() - since < 10 and not reader.at_eof():
                return reader, writer, node, True
            writer.transport.abort()
        for node in self.random.sample(self.addresses, min(3, len(self.addresses))):
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*node), 1)
                return reader, writer, node, False
            except (OSError, asyncio.TimeoutError):
                continue
        return None

    async def request(self, kind):
        end = time.monotonic() + kind.deadline_s
        first = None
        for number in range(1 + kind.retries):
            left = end - time.monotonic()
            if left < 0.02:
                return
            await self.lookup()
            attempt = await self.attempt(kind, left, fresh=number > 0, first=first)
            if attempt is None:
                return
            first = first or attempt
            if 200 <= attempt.status < 300:
                return
            promise = attempt.status in (429, 503, 408, 421)
            if attempt.status in (400, 401, 404, 413, 431) or not (kind.idempotent or promise):
                return
            wait = float(attempt.fields.get("retry-after", "0")) if promise else 0.0
            await asyncio.sleep(max(0.0, min(wait, (end - time.monotonic()) / 3)))

    async def attempt(self, kind, left, fresh, first):
        found = await self.connection(fresh)
        request = uuid.UUID(int=self.random.getrandbits(128)).hex[:16]
        attempt = Attempt(request, kind, None, self.rig.record.now())
        attempt.first = first
        self.rig.attempts.append(attempt)
        if found is None:
            attempt.outcome = "unsent"
            attempt.ended = self.rig.record.now()
            return attempt
        reader, writer, node, attempt.kept = found
        attempt.node = node
        body = b"" if kind.method == "GET" else f"slip {request}".encode()
        target = f"{kind.path}{self.random.randrange(100)}?n={self.random.randrange(1000)}"
        self.rig.record.add(f"client sends {request} {kind.method} {target} to {node[0]}")
        try:
            writer.write((f"{kind.method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
                          f"X-Deadline: {int(left * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
            line, attempt.fields, attempt.body = await asyncio.wait_for(self.answer(reader), left + self.rig.patience_s)
            attempt.status = int(line.split(" ")[1])
            attempt.outcome = "answered"
        except asyncio.TimeoutError:
            attempt.outcome = "left"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            attempt.outcome = "cut"
        attempt.ended = self.rig.record.now()
        self.rig.record.add(f"client has {request}: {attempt.outcome} {attempt.status or ''} "
                            f"after {attempt.ended - attempt.sent:.3f} s")
        if attempt.outcome == "answered" and attempt.fields.get("connection", "").lower() != "close":
            self.idle.append((reader, writer, node, time.monotonic()))
        else:
            writer.transport.abort()
        return attempt

    @staticmethod
    async def answer(reader):
        line, fields = await read_head(reader)
        return line, fields, await reader.readexactly(int(fields.get("content-length", "0")))


# -- the whole --------------------------------------------------------------------------------------------------


class Rig:
    def __init__(self, case_folder, network, node_count, seed=1, zones=("centrs", "purvciems", "imanta")):
        self.case_folder = pathlib.Path(case_folder).resolve()
        self.record = Record(self.case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yuccaspool-review-"))
        self.network = f"127.{network}"
        self.node_count = node_count
        self.zones = zones
        self.random = random.Random(seed)
        self.store = Store(self.record)
        self.attempts = []
        self.tasks = []
        self.patience_s = 1.0  # for which a client stays beyond its deadline, so that the check sees a late answer
        self.ports = dict(zip(("front", "ready", "control", "directory", "internal", "metrics"),
                              self.free_ports([f"{self.network}.0.{i + 1}" for i in range(node_count)], 6)))
        self.store_address = (f"{self.network}.2.1", self.free_ports([f"{self.network}.2.1"], 1)[0])
        self.nodes = [Node(self, index, zones[index % len(zones)]) for index in range(node_count)]
        self.version = 0

    @staticmethod
    def free_ports(addresses, count):
        ports = []
        while len(ports) < count:
            probe = socket.socket()
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
            probe.close()
            try:
                for address in addresses:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        other = socket.socket(socket.AF_INET, kind)
                        other.bind((address, port))
                        other.close()
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
        return ports

    def leaf_address(self, index):
        ip = f"{self.network}.1.{index + 1}"
        return ip, self.free_ports([ip], 1)[0]

    def configure(self, routes, services, show=True, extra=None):
        self.version += self.random.randrange(1, 5)
        value = {"version": self.version, "routes": routes,
                 "services": [{"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": False}
                              for name in services],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                            "idleTimeoutMs": 15000}}
        value.update(extra or {})
        self.store.put("op/config", value)
        self.record.add(f"operator writes version {self.version}, acknowledged", show=show)
        return self.version

    async def start_nodes(self, collector=False, limit_s=15):
        for node in self.nodes:
            node.start(collector)
        await self.wait_ready(limit_s)

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await node.ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise NotRun("the nodes are not ready in time")

    def press(self, kinds, clients, until):
        """Starts the load: each kind at its rate, until the time on the record's clock."""

        async def one(kind, generator):
            running = set()
            while self.record.now() < until:
                await asyncio.sleep(generator.expovariate(kind.per_s))
                task = asyncio.ensure_future(generator.choice(clients).request(kind))
                running.add(task)
                task.add_done_callback(running.discard)
            if running:
                await asyncio.wait(running)

        self.tasks += [asyncio.ensure_future(one(kind, random.Random(self.random.random()))) for kind in kinds]

    async def sleep_until(self, when):
        await asyncio.sleep(max(0.0, when - self.record.now()))

    def close(self):
        for node in self.nodes:
            for process in node.all:
                if process.poll() is None:
                    try:
                        process.send_signal(signal.SIGCONT)
                        process.kill()
                    except OSError:
                        pass
                    process.wait()
        for node in self.nodes:
            log = self.folder / f"{node.name}.log"
            if log.exists() and os.environ.get("KEEP_LOGS"):
                shutil.copy(log, self.case_folder / log.name)
        shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    """The case could not run."""


def main(case_folder, network, node_count, play, **options):
    """Plays a case and exits. play(rig) returns the list of what broke the rule; empty if it held."""
    code = play_case(case_folder, network, node_count, play, options)
    sys.stdout.flush()
    os._exit(code)  # connections and tasks that are still open are of no interest


def play_case(case_folder, network, node_count, play, options):
    if not NODE.exists():
        print(f"{NODE} is missing: build first")
        return NOT_RUN
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    rig = Rig(case_folder, network, node_count, **options)

    async def limited():
        await rig.store.server.start(*rig.store_address)
        return await asyncio.wait_for(play(rig), 110)

    try:
        broken = loop.run_until_complete(limited())
    except Exception as error:  # an error of the script is no broken rule
        rig.record.add(f"the case could not run: {type(error).__name__} {error}", show=True)
        return NOT_RUN
    finally:
        rig.close()
    for line in broken:
        rig.record.add(f"BROKEN {line}", show=True)
    if not broken:
        rig.record.add("the rule held", show=True)
    return BROKEN if broken else HELD
