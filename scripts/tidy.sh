#!/bin/sh
# Runs clang-tidy on the given files with the include paths of the build.
exec clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE -iquote core \
    -iquote shell -iquote gate -iquote control -iquote ctl -iquote timeline \
    -iquote standin -iquote tests -iquote net -iquote platform -iquote entry -iquote entry/accounts -iquote entry/callers 2>/dev/null
