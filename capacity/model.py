"""The lines of the capacity page: quantities at the target size and today, each with budget, source and mechanism."""

from dataclasses import dataclass
from typing import List, Optional

from capacity.measurements import Figure, assumed, derived, fitted, load, measured, product, row_of

NODES, LEAFS, QUERIES, FANOUT = 4700, 73000, 3.1e6, 75
DOMAINS, CHANGES_A_DAY, RESTARTS_A_DAY = 13, 21000, 29000
CPU_BUDGET_MS, MEMORY_BUDGET_MB, BYTES_BUDGET = 17.0, 64.0, 3000.0
CHANGES = CHANGES_A_DAY / 86400
LEAF_REQUESTS = QUERIES / NODES * FANOUT
# One service of the target size: 75 shards with 3 replicas each.
SERVICES, LEAFS_A_SERVICE = 324, 225
CONNECTION_STATE_KB = 24.0


@dataclass(frozen=True)
class Line:
    """One quantity of a role."""

    quantity: str
    unit: str
    target: Figure
    budget: Optional[float]
    mechanism: str
    today: str = ""


@dataclass(frozen=True)
class Role:
    name: str
    what: str
    lines: List[Line]


def largest_run(record: dict) -> dict:
    return max(record["runs"], key=lambda run: run["nodes"])


SMALLEST_FITTED = 200  # below it the number of links still grows with the fleet


def overlay(read) -> Figure:
    """A figure of the simulated fleets, extended to the target size."""
    return fitted("overlay-scale", "runs", lambda run: run["nodes"] >= SMALLEST_FITTED, read, NODES)


def largest_overlay(read) -> Figure:
    return measured("overlay-scale", lambda record: read(largest_run(record)),
                    f"measured at {overlay_nodes()} simulated nodes")


def process_cost(field: str) -> Figure:
    """A figure of real processes at the ticket rate nearest to the target's, at the largest fleet that was run."""
    def read(record: dict) -> float:
        rows = [row for row in record["rows"] if 0.2 < row.get("rate", 0) < 0.4]
        return max(rows, key=lambda row: row["nodes"])[field]
    return measured("fleet-control-cost", read, "measured with 200 processes on one machine")


def placement(field: str) -> Figure:
    return measured("placement", lambda record: row_of(record, hosts=NODES)[field], "measured at 4,700 hosts")


def per_leaf_request_us() -> Figure:
    return measured("query", lambda record: row_of(record, scenario="cpu")["cpu_us_per_leaf_request"])


def target_memory(field: str) -> Figure:
    def read(record: dict) -> float:
        return next(row for row in record["rows"] if field in row)[field]
    return measured("fleet-control-cost", read, "measured with the target's ticket state")


def overlay_nodes() -> str:
    record = load("overlay-scale")
    return f"{largest_run(record)['nodes']:,}" if record else "no"


def entry() -> Role:
    return Role("entry", "serves callers", [
        Line("queries into a node", "1/s", derived(QUERIES / NODES, "3.1 M/s / 4,700"), None,
             "`src/entry/internal/callerapi.cpp`", "bounded by callers: 8 hosts"),
        Line("decisions for leaf requests", "cores",
             product("49,500 leaf requests/s x processor time each", per_leaf_request_us(),
                     factor=LEAF_REQUESTS * 1e-6), 4.0,
             "`src/query/internal/lookuprunner.cpp`"),
        Line("memory for requests in flight", "MB",
             assumed(QUERIES / NODES * 0.1 * FANOUT * 2e-3, "660/s x 0.1 s x 75 parts x 2 KB; to be measured by heap "
                     "profile under load"), None, "`src/query/internal/partmerger.cpp`"),
    ])


def holder() -> Role:
    connections = LEAFS_A_SERVICE * 2 * 2
    return Role("holder of leaf connections", "keeps connections to the leafs of one or two services", [
        Line("leaf requests out of a node", "1/s", derived(LEAF_REQUESTS, "660 x 75"), None,
             "`src/leaf/internal/leafpool.cpp`", "Riga: kiosk 20, fitter 30 a lookup"),
        Line("connections of a node", "connections",
             assumed(connections, "2 services x 225 leafs x 2 connections; 324 services on 4,700 nodes"), 1550,
             "`src/placement/internal`, `src/leaf/internal/leafgroup.cpp`", "Riga: 111 leafs x 3 to 12"),
        Line("memory of connections", "MB",
             assumed(connections * CONNECTION_STATE_KB / 1024, "24 KB a connection (buffers); to be measured by "
                     "resident memory against connections"), None, "`src/leaf/internal/connection.cpp`"),
        Line("largest share of a leaf's limit in use, half of the views 60 s old", "of the limit",
             placement("most_of_limit_lagged_views"), 1.0, "`src/placement/internal`", "0.88 of the limit at 8 hosts"),
        Line("the same while regions are cut off", "of the limit", placement("most_of_limit_partition"), 1.0,
             "`src/placement/internal`", "0.96 at 8 hosts"),
        Line("load of the busiest node over the mean", "ratio", placement("unevenness"), 1.1,
             "`src/placement/internal`", "1.0 at 8 hosts"),
    ])


def reader() -> Role:
    return Role("reader of the configuration service", "ranks 0 and 1 of each failure domain watch it", [
        Line("calls of the fleet, steady", "1/s",
             overlay(lambda run: run["service_calls_per_second"]["steady_mean"]), 2000,
             "`src/overlay/internal/configreader.cpp`", "8 watches of 1 s each"),
        Line("largest calls of the fleet in a second at a simultaneous start", "1/s",
             overlay(lambda run: run["service_calls_per_second"]["largest_at_start"]), 2000,
             "`src/overlay/internal/configreader.cpp`"),
        Line("calls when no node knows any other", "1/s", derived(NODES / 5, "4,700 / 5 s"), 2000,
             "`src/overlay/internal/configreader.cpp`"),
    ])


def relay() -> Role:
    return Role("relay of tickets and members", "every node; links to a bounded number of peers", [
        Line("links of a node", "links", derived(8, "4 + 2 + 2 chosen, as many accepted again"), None,
             "`src/overlay/internal/peerchoice.cpp`", "at most 7"),
        Line("control bytes sent", "bytes/s",
             overlay(lambda run: run["per_node_second"]["payload_bytes_out"]), BYTES_BUDGET,
             "`src/overlay/internal/overlaynode.cpp`"),
        Line("control bytes sent and received, with frame overhead", "bytes/s",
             overlay(lambda run: run["per_node_second"]["bytes_in_and_out_with_frame_overhead"]), BYTES_BUDGET,
             "`src/overlay/internal/overlaynode.cpp`"),
        Line("processor time of the engines", "ms/s",
             product("share of a core x 10", overlay(lambda run: run["cpu_percent_of_a_core_per_node"]), factor=10),
             CPU_BUDGET_MS, "`src/overlay/internal/overlaynode.cpp`"),
        Line("publish to in force, p99, 1,500 bytes", "s",
             largest_overlay(lambda run: run["publish_to_in_force_seconds"]["p99"]), 4.0,
             "`src/overlay/internal/overlaynode.cpp`"),
        Line("publish to in force, maximum, 1,500 bytes", "s",
             largest_overlay(lambda run: run["publish_to_in_force_seconds"]["max"]), 4.0,
             "`src/overlay/internal/overlaynode.cpp`"),
        Line("processor time of a whole idle process", "ms/s",
             product("share of a core x 10", process_cost("cpu_percent"), factor=10), CPU_BUDGET_MS,
             "`src/app/internal/controlplane.cpp`"),
        Line("peer bytes of a whole process, in and out", "bytes/s", process_cost("bytes_per_s"), BYTES_BUDGET,
             "`src/peer/internal/peertransport.cpp`"),
    ])


def controllers() -> Role:
    return Role("controllers", "placement and steering on the control thread of every node", [
        Line("processor time of placement", "ms/s", placement("cpu_ms_per_second"), CPU_BUDGET_MS,
             "`src/placement/internal`"),
        Line("memory of placement", "MB", placement("resident_mb"), MEMORY_BUDGET_MB, "`src/placement/internal`"),
        Line("resident memory of a whole process with the target's tickets", "MB",
             target_memory("newcomer_memory_mb"), MEMORY_BUDGET_MB, "`src/tickets/internal/ticketstore.cpp`"),
        Line("time for a new process to learn that state from a peer", "s", target_memory("learn_s"), None,
             "`src/overlay/internal/statetransfer.cpp`"),
    ])


def forwarder() -> Role:
    return Role("forwarder", "sends a request one hop to a holder", [
        Line("requests forwarded", "1/s",
             assumed(QUERIES / NODES * 0.05, "5 % of callers hold an outdated address; to be measured by "
                     "yuccaspool_forwarded_total under restarts"), None, "`src/entry/internal/forwarder.cpp`"),
        Line("bytes forwarded", "bytes/s", assumed(QUERIES / NODES * 0.05 * 4000, "4 KB for request and answer"), None,
             "`src/rpc/internal/peercalls.cpp`"),
    ])


def reporter() -> Role:
    group = NODES ** 0.5
    return Role("reporter to operators", "collects the fleet's status when asked", [
        Line("calls of the asked node", "calls", derived(group, "sqrt(4,700), and as many of each delegate"), None,
             "`src/fleetstatus/internal/fleetcollector.cpp`", "3"),
        Line("bytes of a report", "KB", assumed(NODES * 0.1, "100 bytes a row"), 1024,
             "`src/fleetstatus/internal/statusmessages.cpp`"),
        Line("bytes a second when nobody asks", "bytes/s", derived(0, "on demand only"), BYTES_BUDGET,
             "`src/fleetstatus/internal/fleetcollector.cpp`"),
    ])


def roles() -> List[Role]:
    return [entry(), holder(), reader(), relay(), controllers(), forwarder(), reporter()]
