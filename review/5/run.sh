#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/streambend ] && [ -x target/review/standin-2 ] || { echo "not built: see review/build-2.sh"; exit 2; }
CASE=lost RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}" timeout -k 5 110 target/review/standin-2
status=$?
[ $status -le 1 ] && exit $status
exit 2
