"""Command line of the fleet measurements."""

import argparse
import importlib
import signal
import sys
from typing import List

from . import deployment
from . import report as reports
from .processes import Fleet

MEASUREMENTS = {
    "in-force": "in_force",
    "service-calls": "service_calls",
    "control-cost": "control_cost",
    "restart-all": "restart_all",
    "operators": "operators",
}


def node_counts(text: str) -> List[int]:
    return [int(part) for part in text.split(",")]


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/fleet", description="Measures yuccaspoold processes on loopback.")
    parser.add_argument("name", choices=sorted(MEASUREMENTS))
    parser.add_argument("--nodes", type=node_counts, default=[8, 50, 200], help="fleet sizes, for example 8,50,200")
    parser.add_argument("--seed", type=int, default=1, help="seed of the choice of nodes and times")
    parser.add_argument("--pool", type=int, default=0, choices=range(deployment.POOLS),
                        help="addresses to use; measurements that run at once need different ones")
    parser.add_argument("--append", action="store_true", help="keep the rows of other sizes of the last report")
    parser.add_argument("--quick", action="store_true", help="fewer tickets and shorter windows")
    return parser.parse_args()


def stop(*_: object) -> None:
    """Ends the program through its context managers, so that no daemon is left behind."""
    sys.exit(1)


def main() -> int:
    arguments = parse_arguments()
    signal.signal(signal.SIGTERM, stop)
    report = reports.Report(arguments.name, " ".join(sys.argv[2:]))
    Fleet.pool = arguments.pool
    module = importlib.import_module(f"{__package__}.{MEASUREMENTS[arguments.name]}")
    module.measure(report, arguments.nodes, arguments.seed, arguments.quick)
    if arguments.append:
        reports.continue_report(report, arguments.nodes)
    module.conclude(report)
    reports.write(report)
    print(reports.as_markdown(reports.as_json(report)))
    return 0 if report.met() else 1


if __name__ == "__main__":
    sys.exit(main())
