#!/bin/bash
# Prepares the stand-ins of the cases 6 to 10, after the build of the deploy
# file. They are Python programs: nothing is compiled, but each has to be
# importable with the packages in target/deps, without a network.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps ]; then
    echo 'target/deps is missing: run the build of deploy/system.toml' >&2
    exit 1
fi
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import smallfleet, standins.metadatastore, godwitknot.mesh.program' || exit 1
for case in review/{6..10}/case.py; do
    [ -f "$case" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case" || exit 1
done
