#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start: the platform, its store, the endpoints and the clients. Run
# it in the root of the repository, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin3"
go build -o ../../target/review3-standin .
