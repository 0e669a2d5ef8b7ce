"""HTTP calls with JSON bodies to loopback addresses."""

import http.client
import json
from typing import Any, Optional, Tuple


def call(
    method: str, endpoint: str, path: str, body: Optional[bytes] = None, timeout: float = 10.0
) -> Tuple[int, bytes]:
    address, port = endpoint.split(":")
    connection = http.client.HTTPConnection(address, int(port), timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def get_json(endpoint: str, path: str, timeout: float = 10.0) -> Any:
    return json.loads(call("GET", endpoint, path, timeout=timeout)[1])


def post_json(endpoint: str, path: str, body: bytes) -> Any:
    status, answer = call("POST", endpoint, path, body)
    if status != 200:
        raise RuntimeError(f"POST {path} at {endpoint}: status {status}")
    return json.loads(answer)
