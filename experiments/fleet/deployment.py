"""Addresses, settings and tickets of a generated fleet. The output depends on the arguments alone."""

import dataclasses
import json
import pathlib
from typing import Any, Dict, List

DOMAINS = 13
REGIONS = 4
CALLER_PORT, PEER_PORT, ADMIN_PORT = 7001, 7002, 7003
# Pools have addresses of their own, so that two measurements can run at once.
POOLS = 10
NODES_IN_ROW = 200
# The parser takes up to 100,000 shards a layout; one entry has about 30 bytes.
LARGE_TICKET_SHARDS = 34_000
TICKET_LIMIT_BYTES = 1024 * 1024

Json = Dict[str, Any]


@dataclasses.dataclass(frozen=True)
class NodeSpec:
    """Place and addresses of one node."""

    host: str
    failure_domain: str
    region: str
    address: str

    @property
    def admin(self) -> str:
        return f"{self.address}:{ADMIN_PORT}"

    @property
    def caller(self) -> str:
        return f"{self.address}:{CALLER_PORT}"


def domain_name(number: int) -> str:
    return f"domain-{number:02}"


def region_name(domain: int) -> str:
    return f"region-{domain % REGIONS}"


def config_service(pool: int) -> str:
    return f"127.{20 + pool}.0.10:7100"


def host_list(pool: int) -> str:
    return f"127.{20 + pool}.0.11:7200"


def make_node(number: int, pool: int) -> NodeSpec:
    domain = number % DOMAINS
    row = 1 + 2 * pool + number // NODES_IN_ROW
    address = f"127.{20 + domain % 10}.{row}.{1 + number % NODES_IN_ROW}"
    return NodeSpec(f"node-{number + 1}", domain_name(domain), region_name(domain), address)


def settings_text(node: NodeSpec, pool: int) -> str:
    return f"""[node]
host = {node.host}
failure_domain = {node.failure_domain}
region = {node.region}
caller_address = {node.address}
caller_port = {CALLER_PORT}
peer_address = {node.address}
peer_port = {PEER_PORT}
admin_address = {node.address}
admin_port = {ADMIN_PORT}

[platform]
config_service = {config_service(pool)}
host_list = {host_list(pool)}

[threads]
request_threads = 1

[log]
level = info

[limits]
drain_ms = 1000
leave_ms = 500
"""


def host_row(node: NodeSpec) -> Json:
    return {
        "host": node.host,
        "failure_domain": node.failure_domain,
        "region": node.region,
        "peer": f"{node.address}:{PEER_PORT}",
        "caller": node.caller,
        "admin": node.admin,
        "state": "live",
    }


def write_deployment(folder: pathlib.Path, nodes: List[NodeSpec], pool: int) -> None:
    for node in nodes:
        (folder / f"{node.host}.ini").write_text(settings_text(node, pool))
    listing = {"version": 1, "hosts": [host_row(node) for node in nodes], "servers": []}
    (folder / "hostlist.json").write_text(json.dumps(listing))


def ticket(number: int, objects: List[Json]) -> bytes:
    document = {"ticket": number, "comment": "fleet measurement", "objects": objects}
    body = json.dumps(document, separators=(",", ":")).encode()
    assert len(body) <= TICKET_LIMIT_BYTES
    return body


def fleet_ticket(number: int) -> bytes:
    domains = [{"name": domain_name(index), "region": region_name(index)} for index in range(DOMAINS)]
    state = {"failure_domains": domains, "extra_load_percent": 5, "address_ttl_ms": 3000,
             "connection_headroom_percent": 20}
    return ticket(number, [{"kind": "fleet", "name": "fleet", "state": state}])


def small_ticket(number: int) -> bytes:
    state = {"services": ["lookup"], "policy": "latency", "deadline_ms": 1000 + number, "min_coverage": 0.5, "share": 1}
    return ticket(number, [{"kind": "caller", "name": f"caller-{number % 20}", "state": state}])


def service_state(shards: List[Json], leafs: List[Json]) -> Json:
    return {"slots": 2, "connections": 1, "connect_ms": 6, "load_weight": 1.0,
            "layouts": [{"layout": 1, "shards": shards}], "leafs": leafs}


def large_ticket(number: int) -> bytes:
    """A body just under 1 MB: one service with many shards and no leafs, so that no node opens leaf connections."""
    shards = [{"shard": shard, "weight": 1000} for shard in range(LARGE_TICKET_SHARDS)]
    return ticket(number, [{"kind": "service", "name": "large", "state": service_state(shards, [])}])


def target_service_ticket(number: int, service: int, leafs: int) -> bytes:
    """A service of the target size. With one connection a leaf, only nodes of the leaf's own domain hold one."""
    shards = leafs // 3
    rows = [{
        "leaf": f"s{service}-{leaf}",
        "server": f"s{service}-server-{leaf}",
        "address": f"127.28.{200 + leaf // 200}.{1 + leaf % 200}",
        "port": 8001,
        "failure_domain": domain_name(2 + leaf % (DOMAINS - 2)),
        "layout": 1,
        "shard": leaf % shards,
    } for leaf in range(leafs)]
    weights = [{"shard": shard, "weight": 1000} for shard in range(shards)]
    return ticket(number, [{"kind": "service", "name": f"service-{service}", "state": service_state(weights, rows)}])
