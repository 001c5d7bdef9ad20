#!/usr/bin/env bash
# Checks the stand-ins that the scripts start: Python files without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print(f"checked {path}")
PYTHON
