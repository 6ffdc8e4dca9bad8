#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be started. They are Python programs that use the standard library alone,
# so nothing is compiled; the cases start no program of the project but the node, which the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in common/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; sys.path.insert(0, "common"); import sites, standins'
