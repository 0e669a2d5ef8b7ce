"""Command line of scripts/capacity."""

import argparse
import pathlib
import sys

from capacity import model, page

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"


def missing_values() -> list:
    """Budget lines without a value; the page may not have any."""
    return [f"{role.name}: {line.quantity}" for role in model.roles() for line in role.lines
            if line.budget is not None and line.target.value is None]


def main() -> int:
    parser = argparse.ArgumentParser(description="works out docs/CAPACITY.md from the recorded measurements")
    parser.add_argument("--check", action="store_true", help="only compare the page with the measurements")
    check_only = parser.parse_args().check
    text = page.render()
    if not check_only:
        PAGE.write_text(text)
    elif not PAGE.exists() or PAGE.read_text() != text:
        print("docs/CAPACITY.md differs from the measurements; run scripts/capacity", file=sys.stderr)
        return 1
    missing = missing_values()
    for line in missing:
        print(f"no recorded value for the budget line {line}", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
