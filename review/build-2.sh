#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside
# target/spindle-entry.  Their stand-ins are review/world2.py, which needs
# python3 alone: nothing is compiled.
cd "$(dirname "$0")/.." && exec python3 -c 'import ast, sys
ast.parse(open("review/world2.py").read())'
