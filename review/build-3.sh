#!/bin/bash
# Builds the stand-ins that the scripts of review/11 and later start. Run it in the root of the repository, after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review3-standin ./review/standin3
