"""Renders docs/CAPACITY.md."""

from typing import List

from capacity import model
from capacity.measurements import Figure


def number(value: float) -> str:
    if value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def margin(figure: Figure, budget: float) -> str:
    if figure.value is None:
        return "unknown"
    if figure.value > budget:
        return f"**over by {figure.value / budget:.2f} times**"
    return "ample" if figure.value == 0 else f"{budget / figure.value:.1f} times"


def render_line(line: model.Line) -> str:
    value = "not recorded" if line.target.value is None else number(line.target.value)
    budget = "none given" if line.budget is None else number(line.budget)
    left = "" if line.budget is None else margin(line.target, line.budget)
    today = line.today or "the same mechanism"
    return f"| {line.quantity} | {line.unit} | {value} | {budget} | {left} | {today} | {line.target.source} | {line.mechanism} |"


def render_role(role: model.Role) -> List[str]:
    return [f"### {role.name}", "", f"{role.what[0].upper()}{role.what[1:]}.", "",
            "| quantity | unit | at the target size | budget | margin | today | how obtained | mechanism |",
            "|---|---|---|---|---|---|---|---|",
            *[render_line(line) for line in role.lines], ""]


HEAD = """# Capacity

Written by `scripts/capacity` from the files under `docs/measurements`; `scripts/capacity --check` fails when page and
files differ. *Measured* names the file and the commit of the run, *extrapolated* the formula, *derived* is arithmetic on
the users' figures, *assumed* has no measurement yet and says how it is to be measured.

Target size: 4,700 nodes, 73,000 leafs, 3.1 million queries a second to 75 leafs each, 4 regions with 13 failure domains,
21,000 changes a day in force everywhere within 4 s, 29,000 restarts a day. Budget for control on a node: 1.7 % of a core
(17 ms a second), 64 MB, 3 KB a second. Today: Riga and Ashanti, eight hosts each, 111 and 106 leafs.

The largest fleet simulated in one process had {overlay_nodes} nodes; relay and reader figures are extended from there.
A node's links, digests and watches do not depend on the size of the fleet; announcements of members grow with the number
of restarts, so with the size, which is why the lines are linear. The largest fleet of real processes had 200 nodes on one
machine of ten cores.

## Roles
"""

TAIL = """## Bad days

| event | what saturates first | what happens to the promises |
|---|---|---|
| a rack of 40 hosts goes | the remaining holders of some services in one failure domain | shares of lost hosts wait 30 s, then 90 s before they grow; other domains serve; all promises hold |
| a failure domain goes | connections of the other domains: its share stays reserved | coverage may fall for services with replicas in that domain only; limits hold |
| a region is cut off for minutes | reports of unreachable members | both sides serve; tickets reach the side with the service; limits hold because shares are declared |
| a region restarts at once | state transfers from ready peers | nodes are not ready until they know the state; calls to the service stay bounded |
| the configuration service is down for hours | nothing | no new tickets; new processes learn from peers; if all processes are replaced meanwhile, all say not run |
| 100 tickets in a burst | control bytes of that second (100 x 12 KB exceed 3 KB/s for minutes' worth of budget) | in force within 4 s is not measured for bursts at the target size |
| the largest ticket, 1 MB | control bytes: 1 MB to every node is 80 times the mean budget of a change | the mean body has to stay under 12 KB less digests and records; larger ones are for single changes |

## Limits

| mechanism | stops fitting | next |
|---|---|---|
| every node keeps every body | 64 MB, or a mean body above about 8 KB at 21,000 changes a day | headers without bodies (section 8.2), which needs placement data in the header |
| host listing and member records on every node | records of restarts use the 3 KB/s | records only within a region, summaries between regions |
| placement over all services on every node | 17 ms/s | placement of the own failure domain only |
| two holders a service and failure domain | a limit of 25 connections with 13 domains leaves 1 connection each | fewer declared domains a service |
| one control thread | processor time of calls forwarded by it | a thread for forwarding |
"""


def render() -> str:
    lines = [HEAD.replace("{overlay_nodes}", model.overlay_nodes())]
    for role in model.roles():
        lines += render_role(role)
    lines.append(TAIL)
    return "\n".join(lines)
