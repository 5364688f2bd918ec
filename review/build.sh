#!/usr/bin/env bash
# Builds the stand-ins of the scripts: of the store, the servers and the consumers. The gateway is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/harness ./review/harness
