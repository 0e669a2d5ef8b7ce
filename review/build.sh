#!/usr/bin/env bash
# The scripts' stand-ins are Python programs of the standard library: nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'P'
import ast, pathlib
for path in [pathlib.Path("lib/rig.py"), *sorted(pathlib.Path(".").glob("[1-5]/case.py"))]:
    ast.parse(path.read_text())
P
test -x ../target/bin/yuccaspool-node
