"""Command line of the experiment driver."""

import argparse
import dataclasses
import sys

from . import runner, spec


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="experiment", description="Runs an experiment on loopback addresses.")
    parser.add_argument("name", nargs="?", help="name of a file under experiments/")
    parser.add_argument("--seed", type=int, help="run this seed only")
    parser.add_argument("--quick", action="store_true", help="the short form, under one minute")
    parser.add_argument("--list", action="store_true", help="list the experiments")
    return parser.parse_args()


def main() -> int:
    arguments = _arguments()
    if arguments.list:
        for name in spec.names():
            print(f"{name}: {spec.load(name).question}")
        return 0
    if not arguments.name:
        print("error: give the name of an experiment, or --list", file=sys.stderr)
        return 2
    try:
        experiment = spec.load(arguments.name)
    except spec.SpecError as error:
        print(f"error: {error}", file=sys.stderr)
        return 2
    if arguments.quick:
        experiment = spec.quick(experiment)
    if arguments.seed is not None:
        experiment = dataclasses.replace(experiment, seeds=(arguments.seed,))
    try:
        return 0 if runner.run(experiment, arguments.quick) else 1
    except (RuntimeError, OSError, runner.OverTime) as error:
        print(f"error: {error}", file=sys.stderr)
        return 3


if __name__ == "__main__":
    sys.exit(main())
