#!/usr/bin/env bash
# Builds what the cases' scripts start: the product as the deploy file says, and the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/streambend
go test -c -tags review -o target/review/standin ./review/standin
