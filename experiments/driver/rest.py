"""Small HTTP calls to processes of the deployment."""

import http.client
import json
from typing import Any


def call(address: str, method: str, path: str, body: Any = None, timeout: float = 5.0) -> tuple[int, str]:
    """One request on a connection of its own. Raises OSError or HTTPException when there is no reply."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = body if body is None or isinstance(body, str) else json.dumps(body)
        connection.request(method, path, text, {"Content-Type": "application/json"})
        reply = connection.getresponse()
        return reply.status, reply.read().decode()
    finally:
        connection.close()


def try_call(address: str, method: str, path: str, body: Any = None, timeout: float = 5.0) -> tuple[int, str]:
    """As `call`, with status 0 when there is no reply."""
    try:
        return call(address, method, path, body, timeout)
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)


def parse_metrics(text: str) -> dict[str, float]:
    """Sums each family of a Prometheus text over its labels, without the common prefix."""
    values: dict[str, float] = {}
    for line in text.splitlines():
        if not line or line.startswith("#"):
            continue
        name, _, value = line.rpartition(" ")
        name = name.split("{")[0].removeprefix("yuccaspool_")
        values[name] = values.get(name, 0.0) + float(value)
    return values
