#!/bin/sh
# Runs the demo on loopback; see scripts/demo.py.
exec python3 "$(dirname "$0")/demo.py"
