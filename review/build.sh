#!/bin/sh
# Builds the stand-ins of the cases: one Python file, which needs the libraries that
# the deploy file's build puts into target/deps, and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/platform_standin.py review/*/case.py
