#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
