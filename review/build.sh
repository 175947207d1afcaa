#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use Python's standard library only, so it is
# enough that the Python of the deploy file's command can read them.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - standins.py [1-5]/case.py <<'PY'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    ast.parse(Path(name).read_text(encoding="utf-8"), name)
PY
