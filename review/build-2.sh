#!/bin/bash
# Builds the stand-ins of the scripts in review/6 to review/10. The project itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/standin2"
go build -o ../../target/review-standin-2 .
