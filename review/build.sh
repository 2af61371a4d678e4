#!/bin/sh
# Builds the stand-ins of all cases: they are Python programs that need only the standard library.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
