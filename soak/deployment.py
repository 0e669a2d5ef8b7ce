"""Generates the settings, tickets and host list of a run from the tables of scripts/make-examples."""

from __future__ import annotations

import copy
import importlib.machinery
import importlib.util
import json
import pathlib
import sys
from dataclasses import dataclass, field
from typing import Any, Dict, List

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Services with a second layout: instances, leafs an instance and shards of that layout.
SECOND_LAYOUTS = {"kiosk": dict(instances=10, leafs=2, shards=10), "refill": dict(instances=4, leafs=1, shards=2)}
FIRST_SECOND_INDEX = 5  # keeps the addresses apart from those of the first layouts
BEHAVIOUR = "base_us = 2000\nspread_us = 2000\ncold_start_ms = 1000\nhealth_lag_ms = 1000\n"


@dataclass
class Server:
    name: str
    service: str
    domain: str
    admin: str  # address; the port is SERVER_ADMIN_PORT
    settings: pathlib.Path


@dataclass
class Host:
    name: str
    domain: str
    address: str
    settings: pathlib.Path


@dataclass
class Deployment:
    network: str
    folder: pathlib.Path
    hosts: List[Host] = field(default_factory=list)
    servers: List[Server] = field(default_factory=list)
    host_list: Dict[str, Any] = field(default_factory=dict)
    services: Dict[str, Dict[int, Dict[str, Any]]] = field(default_factory=dict)  # state by service and layout
    callers: Dict[str, Any] = field(default_factory=dict)
    domains: List[str] = field(default_factory=list)
    fleet: Dict[str, Any] = field(default_factory=dict)

    @property
    def config_service(self) -> str:
        return f"{self.network}.0.10"

    @property
    def host_list_address(self) -> str:
        return f"{self.network}.0.11"


def load_examples() -> Any:
    """The generator of the examples is a script without a suffix, so it is loaded by its path."""
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader("make_examples", str(ROOT / "scripts" / "make-examples"))
    spec = importlib.util.spec_from_loader("make_examples", loader)
    assert spec is not None
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


def write_hosts(deployment: Deployment, example: Dict[str, Any], maker: Any) -> None:
    folder = deployment.folder / "hosts"
    folder.mkdir(parents=True, exist_ok=True)
    rows = []
    for number in range(example["hosts"]):
        domain, address, text = maker.host_settings(example, number)
        path = folder / f"entry-{number + 1}.ini"
        path.write_text(text)
        deployment.hosts.append(Host(path.stem, domain, address, path))
        rows.append({"host": path.stem, "failure_domain": domain, "region": example["region"],
                     "peer": f"{address}:{maker.PEER_PORT}", "caller": f"{address}:{maker.CALLER_PORT}",
                     "admin": f"{address}:{maker.ADMIN_PORT}", "state": "live"})
    deployment.host_list = {"hosts": rows, "servers": []}


def write_server(deployment: Deployment, service: str, spec: Dict[str, Any], leafs: List[Dict[str, Any]],
                 records: str, maker: Any) -> None:
    name = leafs[0]["server"]
    path = deployment.folder / "servers" / f"{name}.ini"
    path.parent.mkdir(parents=True, exist_ok=True)
    log = (deployment.folder / "executions" / f"{name}.log").relative_to(ROOT)
    text = (f"[server]\nname = {name}\nadmin_address = {leafs[0]['address']}\n"
            f"admin_port = {maker.SERVER_ADMIN_PORT}\nexecution_log = {log}\nseed = 1\n"
            f"leafs = {', '.join(leaf['leaf'] for leaf in leafs)}\n\n[behaviour]\n{BEHAVIOUR}")
    text += "".join(maker.leaf_section(leaf, service, spec, records) for leaf in leafs)
    path.write_text(text)
    deployment.servers.append(Server(name, service, leafs[0]["failure_domain"], leafs[0]["address"], path))


def add_layout(deployment: Deployment, service: str, layout: int, index: int, spec: Dict[str, Any],
               example: Dict[str, Any], maker: Any) -> None:
    name = service if layout == 1 else f"{service}-b"
    leafs = maker.service_leafs(deployment.network, index, name, spec, example["domains"])
    for leaf in leafs:
        leaf["layout"] = layout
    state = maker.service_state(leafs, spec)
    state["layouts"][0]["layout"] = layout
    deployment.services.setdefault(service, {})[layout] = state
    by_server: Dict[str, List[Dict[str, Any]]] = {}
    for leaf in leafs:
        by_server.setdefault(leaf["server"], []).append(leaf)
    for own in by_server.values():
        write_server(deployment, service, spec, own, example["records"], maker)


def build(folder: pathlib.Path, network: str) -> Deployment:
    """Writes all settings under the folder."""
    maker = load_examples()
    example = copy.deepcopy(maker.DEPLOYMENTS["riga"])
    example["network"] = network
    deployment = Deployment(network, folder, domains=example["domains"], callers=example["callers"])
    (folder / "executions").mkdir(parents=True, exist_ok=True)
    (folder / "logs").mkdir(parents=True, exist_ok=True)
    write_hosts(deployment, example, maker)
    for index, (service, spec) in enumerate(example["services"].items()):
        add_layout(deployment, service, 1, index, spec, example, maker)
    for index, (service, change) in enumerate(SECOND_LAYOUTS.items()):
        spec = dict(example["services"][service], **change)
        add_layout(deployment, service, 2, FIRST_SECOND_INDEX + index, spec, example, maker)
    deployment.fleet = {
        "failure_domains": [{"name": name, "region": example["region"]} for name in example["domains"]],
        "extra_load_percent": 5, "address_ttl_ms": 3000, "connection_headroom_percent": example["headroom"]}
    (folder / "hostlist.json").write_text(json.dumps(deployment.host_list))
    return deployment


def service_state(deployment: Deployment, service: str, layouts: List[int]) -> Dict[str, Any]:
    """The state of a service with the given layouts, for a ticket."""
    parts = [deployment.services[service][layout] for layout in layouts]
    state = dict(parts[0])
    state["layouts"] = [layout for part in parts for layout in part["layouts"]]
    state["leafs"] = [leaf for part in parts for leaf in part["leafs"]]
    return state
