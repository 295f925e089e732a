#!/bin/sh
# Builds what the scripts of this review start besides the product: one module of Python,
# which uses the libraries that deploy/build.sh has installed in target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
PYTHONPATH=target/deps python3 - <<'END'
import py_compile

import aiohttp

py_compile.compile("review/platform2.py", "target/review-2/platform2.pyc", doraise=True)
print("stand-in compiled, aiohttp", aiohttp.__version__)
END
