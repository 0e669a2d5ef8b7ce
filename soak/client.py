"""HTTP/1.1 client that notices every byte that no request asked for."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any, Callable, Dict, List, Optional, Tuple

# The daemons close connections that were idle for long; requests must not race with that.
MAX_IDLE_S = 5.0
CONNECT_LIMIT_S = 1.0


@dataclass
class Exchange:
    """One request and what became of it."""

    host: str
    kind: str
    connecting: float = 0.0  # when the connection that carried it began to connect
    sent: float = 0.0
    ended: float = 0.0
    deadline_s: float = 0.0
    status: int = 0  # 0: no reply
    failure: str = ""  # refused, closed or no_reply
    reply: Dict[str, Any] = field(default_factory=dict)
    closing: bool = False


class Connection(asyncio.Protocol):
    def __init__(self, unexpected: Callable[[bytes], None]) -> None:
        self.unexpected = unexpected
        self.transport: Optional[asyncio.Transport] = None
        self.waiting: Optional[asyncio.Future] = None
        self.buffer = b""
        self.open = False
        self.idle_since = 0.0
        self.connecting = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.open = True

    def connection_lost(self, error: Optional[Exception]) -> None:
        self.open = False
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    def data_received(self, data: bytes) -> None:
        if self.waiting is None or self.waiting.done():
            self.unexpected(data)
            return
        self.buffer += data
        head, separator, rest = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = dict((key.lower(), value.strip()) for key, _, value in (line.partition(":") for line in lines[1:]))
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        if len(rest) > length:
            self.unexpected(rest[length:])
        self.buffer = b""
        self.waiting.set_result((int(lines[0].split()[1]), headers, rest[:length]))

    def write(self, request: bytes) -> asyncio.Future:
        assert self.transport is not None
        self.waiting = asyncio.get_running_loop().create_future()
        self.buffer = b""
        self.transport.write(request)
        return self.waiting

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
        self.waiting = None
        # A late reply to a request that was given up is not unexpected.
        self.unexpected = lambda data: None


def encode(method: str, path: str, body: Optional[Any], deadline_ms: Optional[int]) -> bytes:
    data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    head = f"{method} {path} HTTP/1.1\r\nHost: soak\r\nContent-Length: {len(data)}\r\n"
    if deadline_ms is not None:
        head += f"Yp-Deadline-Ms: {deadline_ms}\r\n"
    return head.encode() + b"\r\n" + data


class Client:
    def __init__(self, unexpected: Callable[[str, bytes], None]) -> None:
        self.unexpected = unexpected
        self.idle: Dict[Tuple[str, int], List[Connection]] = {}

    async def connect(self, name: str, address: str, port: int) -> Optional[Connection]:
        pool = self.idle.setdefault((address, port), [])
        while pool:
            connection = pool.pop()
            if connection.open and time.time() - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        begin = time.time()
        try:
            made = loop.create_connection(lambda: Connection(lambda data: self.unexpected(name, data)), address, port)
            connection = (await asyncio.wait_for(made, CONNECT_LIMIT_S))[1]
            connection.connecting = begin
            return connection
        except (OSError, asyncio.TimeoutError):
            return None

    async def send(self, exchange: Exchange, address: str, port: int, request: bytes, limit: float) -> Exchange:
        """Sends a request and fills in the exchange; never raises for what the other side does."""
        connection = await self.connect(exchange.host, address, port)
        exchange.sent = exchange.ended = time.time()
        if connection is None:
            exchange.failure = "refused"
            return exchange
        exchange.connecting = connection.connecting
        done, _ = await asyncio.wait([connection.write(request)], timeout=limit)
        exchange.ended = time.time()
        result = next(iter(done)).result() if done else None
        if result is None:
            exchange.failure = "closed" if done else "no_reply"
            connection.close()
            return exchange
        exchange.status, headers, body = result
        exchange.closing = headers.get("connection", "").lower() == "close"
        exchange.reply = parse(body)
        self.release(connection, address, port, exchange.closing)
        return exchange

    def release(self, connection: Connection, address: str, port: int, closing: bool) -> None:
        if closing:
            connection.close()
            return
        connection.idle_since = time.time()
        self.idle[(address, port)].append(connection)

    async def call(self, name: str, address: str, port: int, method: str, path: str, body: Optional[Any] = None,
                   limit: float = 2.0) -> Optional[Dict[str, Any]]:
        """A request of an operator: the body of a 200 reply, or nothing."""
        exchange = Exchange(name, "operator")
        await self.send(exchange, address, port, encode(method, path, body, None), limit)
        return exchange.reply if exchange.status == 200 else None

    def close(self) -> None:
        for pool in self.idle.values():
            for connection in pool:
                connection.close()


def parse(body: bytes) -> Dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
