#!/usr/bin/env bash
# The stand-ins are Python without dependencies: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - *.py */*.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
