#!/bin/sh
# Builds the stand-ins of the scripts of review 3: they are Python and run from their
# sources with the libraries of the deploy file's build.  This checks that they load.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/firhook ] || sh deploy/build.sh
PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1 python3 -c "import platform3"
