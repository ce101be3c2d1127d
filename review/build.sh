#!/usr/bin/env bash
# Builds what the scripts of the review start. The stand-ins are Python files
# and use only the packages that the build of deploy/system.toml places in
# target/deps, so that they are checked for their syntax and their imports here.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo 'target/deps is missing: run the build of deploy/system.toml' >&2
    exit 1
fi
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    ast.parse(path.read_text(), str(path))
import standins.metadatastore
import yaml
CHECK
