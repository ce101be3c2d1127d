#!/usr/bin/env bash
# Builds what the scripts of the review start. The stand-ins are Python files
# and use only the packages of the deploy file's build, so that they are
# checked for their syntax and their imports here.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    ast.parse(path.read_text(), str(path))
import standins.metadatastore
import yaml
CHECK
