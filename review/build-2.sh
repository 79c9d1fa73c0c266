#!/bin/sh
# Checks what the cases 6 to 10 need: the sender's virtual environment, which the deploy file's build makes.
# Their stand-ins are Python of the standard library (lab2.py), and are compiled here so that a fault shows.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
.venv/bin/python - review/lab2.py review/[0-9]*/play.py <<'PY'
import ast
import sys
from pathlib import Path

for path in map(Path, sys.argv[1:]):
    ast.parse(path.read_text(), str(path))
PY
.venv/bin/python -c "import ashpath.server.platform_deployment"
echo "ready"
