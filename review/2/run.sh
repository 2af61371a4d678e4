#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -c "import sys; sys.path.insert(0, 'review'); import rig" || exit 2
exec timeout --preserve-status -k 5 115 .venv/bin/python review/2/case.py
