#!/bin/sh
# The stand-ins of these cases are Python scripts (review/world.py), which
# need no build; this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - world.py */case.py <<'PY'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PY
