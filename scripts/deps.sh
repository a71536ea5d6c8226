#!/bin/sh
# Installs the missing packages that the build and the tests require.
set -eu
packages="gcc g++ make clang clang-format clang-tidy libcivetweb-dev
libargtable2-dev liburcu-dev libcunit1-dev libmsgpack-dev libjansson-dev
libzmq3-dev libcurl4-openssl-dev librapidcheck-dev libxxhash-dev uthash-dev
zlib1g-dev
libev-dev libhttp-parser-dev nettle-dev mandoc curl python3"
missing=
for p in $packages; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -q >/dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
    --no-install-recommends $missing >/dev/null
