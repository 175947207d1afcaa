#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it didn't run.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, ".."); import standins' || exit 2
exec python3 case.py
