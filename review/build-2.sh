#!/bin/bash
# Builds the stand-ins of the scripts in review/6 and later. The build of deploy/system.toml must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin-2 ./review/standin2
