#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/standin-2 ./review/standin-2
