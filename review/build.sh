#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python with the standard library only, so that nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in lib/deployment.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "the stand-ins can be run"
