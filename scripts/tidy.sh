#!/bin/sh
# Lints the given files with the project's settings.
exec clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE -iquote core \
    -iquote shell -iquote gate -iquote control -iquote ctl -iquote timeline \
    -iquote standin -iquote tests -iquote net -iquote platform -iquote entry 2>/dev/null
