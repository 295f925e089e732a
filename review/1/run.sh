#!/bin/sh
# Plays the case on loopback addresses; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -d target/deps/firhook ] || { echo "run deploy/build.sh first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/deps
exec python3 "$here/case.py"
