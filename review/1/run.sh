#!/usr/bin/env bash
# Daemons are stopped as planned, one after the other. Exits with 1 if LOST was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0: without the stops. Build first: the deploy file's build and review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/streambend ] && [ -x target/review/standin ] || { echo "build first: review/build.sh" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 5 100 target/review/standin planned-stop target/streambend review/1/record.txt "$dir"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
