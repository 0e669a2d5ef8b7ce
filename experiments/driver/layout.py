"""Writes the files of a deployment: host settings, host list, server files and tickets."""

import configparser
import json
import pathlib
from dataclasses import dataclass, field

CALLER_PORT, PEER_PORT, ADMIN_PORT = 7001, 7002, 7003
LEAF_PORT, SERVER_ADMIN_PORT = 8001, 8100
CONFIG_PORT, HOST_LIST_PORT = 7100, 7200
HOST_LIST_OCTET = 11


@dataclass
class Host:
    name: str
    address: str
    settings: pathlib.Path

    @property
    def caller(self) -> str:
        return f"{self.address}:{CALLER_PORT}"

    @property
    def admin(self) -> str:
        return f"{self.address}:{ADMIN_PORT}"


@dataclass
class Server:
    name: str
    settings: pathlib.Path
    admin: str
    execution_log: str = ""


@dataclass
class Files:
    """A deployment on disk. Each variant has entry hosts of its own; the backend servers are shared."""

    folder: pathlib.Path
    config_service: str
    host_lists: list[pathlib.Path] = field(default_factory=list)
    hosts: list[list[Host]] = field(default_factory=list)
    servers: list[Server] = field(default_factory=list)
    tickets: list[pathlib.Path] = field(default_factory=list)
    extra_tickets: dict = field(default_factory=dict)
    weights: dict = field(default_factory=dict)  # (service, layout) -> {shard: weight}


def _write(path: pathlib.Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def _write_ini(path: pathlib.Path, sections: dict) -> None:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w") as output:
        parser.write(output)


def host_list_address(network: str, variant: int) -> str:
    return f"{network}.0.{HOST_LIST_OCTET + variant}"


def _host_sections(spec: dict, network: str, variant: int, number: int) -> dict:
    domains = spec["domains"]
    address = f"{network}.{1 + variant}.{number + 1}"
    return {
        "node": {
            "host": f"entry-{number + 1}", "failure_domain": domains[number % len(domains)], "region": "loopback",
            "caller_address": address, "caller_port": CALLER_PORT, "peer_address": address, "peer_port": PEER_PORT,
            "admin_address": address, "admin_port": ADMIN_PORT,
        },
        "platform": {"config_service": f"{network}.0.10:{CONFIG_PORT}",
                     "host_list": f"{host_list_address(network, variant)}:{HOST_LIST_PORT}"},
        "threads": {"request_threads": spec.get("request_threads", 2)},
        "log": {"level": "info"},
        "limits": {"drain_ms": 30000, "leave_ms": 4000},
    }


def _host_row(host: Host, sections: dict) -> dict:
    node = sections["node"]
    return {"host": host.name, "failure_domain": node["failure_domain"], "region": node["region"],
            "peer": f"{host.address}:{PEER_PORT}", "caller": host.caller, "admin": host.admin, "state": "live"}


def _write_hosts(files: Files, spec: dict, network: str, index: int, settings: dict) -> None:
    hosts, rows = [], []
    for number in range(spec["hosts"]):
        sections = _host_sections(spec, network, index, number)
        for section, keys in settings.items():
            sections.setdefault(section, {}).update(keys)
        path = files.folder / f"variant-{index}" / f"entry-{number + 1}.ini"
        _write_ini(path, sections)
        host = Host(f"entry-{number + 1}", sections["node"]["caller_address"], path)
        hosts.append(host)
        rows.append(_host_row(host, sections))
    listing = files.folder / f"variant-{index}" / "hostlist.json"
    _write(listing, json.dumps({"version": 1, "hosts": rows, "servers": []}))
    files.hosts.append(hosts)
    files.host_lists.append(listing)


def shard_weights(service: dict, layout: dict) -> dict[int, int]:
    """Uneven weights, so that coverage by weight differs from coverage by count."""
    base = service["documents"] // layout["shards"]
    return {shard: base + shard % 5 for shard in range(layout["shards"])}


def leaf_rows(name: str, service: dict, layout: dict, prefix: str, first: int, domains: list[str]) -> list[dict]:
    """The leafs of one layout, one a server; replicas of a shard lie in different failure domains."""
    rows = []
    for replica in range(layout["replicas"]):
        for shard in range(layout["shards"]):
            leaf = f"{name}-{layout['layout']}-{shard}-{replica}"
            rows.append({"leaf": leaf, "server": leaf, "address": f"{prefix}.{first + len(rows)}", "port": LEAF_PORT,
                         "failure_domain": domains[(shard + replica) % len(domains)],
                         "layout": layout["layout"], "shard": shard})
    return rows


def _server_sections(name: str, service: dict, layout: dict, row: dict, seed_log: str, connections: int) -> dict:
    server = {"name": row["server"], "admin_address": row["address"], "admin_port": SERVER_ADMIN_PORT, "seed": 1,
              "leafs": row["leaf"]}
    if seed_log:
        server["execution_log"] = seed_log
    return {
        "server": server,
        "behaviour": service["behaviour"],
        f"leaf.{row['leaf']}": {
            "service": name, "address": row["address"], "port": row["port"], "layout": row["layout"],
            "shard": row["shard"], "total_shards": layout["shards"], "slots": service["slots"],
            "connections": connections, "documents": service["documents"], "records": "cells",
            "versions": layout.get("versions", "1"),
        },
    }


def _service_state(service: dict, rows: list[dict], layouts: list[int]) -> dict:
    chosen = [layout for layout in service["layouts"] if layout["layout"] in layouts]
    return {"slots": service["slots"], "connections": service["connections"], "connect_ms": service["connect_ms"],
            "load_weight": 1.0,
            "layouts": [{"layout": layout["layout"],
                         "shards": [{"shard": shard, "weight": weight}
                                    for shard, weight in shard_weights(service, layout).items()]}
                        for layout in chosen],
            "leafs": [row for row in rows if row["layout"] in layouts]}


def _write_servers(files: Files, spec: dict, network: str, variants: int) -> dict[str, list[dict]]:
    rows: dict[str, list[dict]] = {}
    for index, (name, service) in enumerate(spec["services"].items()):
        rows[name] = []
        for layout in service["layouts"]:
            prefix = f"{network}.{100 + index}"
            own = leaf_rows(name, service, layout, prefix, len(rows[name]) + 1, spec["domains"])
            files.weights[(name, layout["layout"])] = shard_weights(service, layout)
            for row in own:
                log = str(files.folder / "executions" / f"{row['server']}.log")
                path = files.folder / "servers" / f"{row['server']}.ini"
                _write_ini(path, _server_sections(name, service, layout, row, log, service["connections"] * variants))
                files.servers.append(Server(row["server"], path, f"{row['address']}:{SERVER_ADMIN_PORT}", log))
            rows[name] += own
    return rows


def _write_ticket(files: Files, name: str, number: int, objects: list[dict]) -> pathlib.Path:
    path = files.folder / "tickets" / f"{name}.json"
    _write(path, json.dumps({"ticket": number, "comment": name, "objects": objects}))
    return path


def _write_tickets(files: Files, spec: dict, rows: dict[str, list[dict]]) -> None:
    fleet = {"failure_domains": [{"name": name, "region": "loopback"} for name in spec["domains"]],
             "extra_load_percent": spec.get("extra_load_percent", 5), "address_ttl_ms": 3000,
             "connection_headroom_percent": 4}
    services = [{"kind": "service", "name": name,
                 "state": _service_state(service, rows[name], service.get("initial_layouts", [1]))}
                for name, service in spec["services"].items()]
    callers = [{"kind": "caller", "name": name, "state": state} for name, state in spec["callers"].items()]
    files.tickets = [_write_ticket(files, "fleet", 1, [{"kind": "fleet", "name": "fleet", "state": fleet}]),
                     _write_ticket(files, "services", 2, services), _write_ticket(files, "callers", 3, callers)]
    for offset, (name, change) in enumerate(spec.get("tickets", {}).items()):
        service = spec["services"][change["service"]]
        state = _service_state(service, rows[change["service"]], change["layouts"])
        files.extra_tickets[name] = _write_ticket(
            files, name, 4 + offset, [{"kind": "service", "name": change["service"], "state": state}])


def write_generated(folder: pathlib.Path, spec: dict, network: str, settings: list[dict]) -> Files:
    """Writes a deployment from its description; one set of entry hosts for each entry of `settings`."""
    files = Files(folder, f"{network}.0.10:{CONFIG_PORT}")
    (folder / "executions").mkdir(parents=True, exist_ok=True)
    for index, own in enumerate(settings):
        _write_hosts(files, spec, network, index, own)
    _write_tickets(files, spec, _write_servers(files, spec, network, len(settings)))
    return files


def write_example(folder: pathlib.Path, spec: dict, network: str) -> Files:
    """Copies an example deployment to another loopback network."""
    source = pathlib.Path("examples") / spec["example"]
    files = Files(folder, f"{network}.0.10:{CONFIG_PORT}")
    (folder / "executions").mkdir(parents=True, exist_ok=True)
    for path in sorted(source.rglob("*.*")):
        text = path.read_text().replace(f"{spec['example_network']}.", f"{network}.")
        text = text.replace(f"run/{spec['example']}/executions", str(folder / "executions"))
        _write(folder / path.relative_to(source), text)
    hosts = []
    for number in range(1, len(list((folder / "hosts").glob("*.ini"))) + 1):
        hosts.append(Host(f"entry-{number}", f"{network}.1.{number}", folder / "hosts" / f"entry-{number}.ini"))
    files.hosts, files.host_lists = [hosts], [folder / "hostlist.json"]
    for path in sorted((folder / "servers").glob("*.ini")):
        parser = configparser.ConfigParser(interpolation=None)
        parser.read(path)
        server = parser["server"]
        files.servers.append(Server(server["name"], path, f"{server['admin_address']}:{SERVER_ADMIN_PORT}",
                                    server["execution_log"]))
    files.tickets = sorted((folder / "tickets").glob("*.json"))[:3]
    return files
