#!/usr/bin/env bash
# Endpoints leave while requests wait beside them: four of ten endpoints are slow, and many users come at once.
# TROUBLE=0 plays the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dandelionspoke ] && [ -x target/review-standin ] || { echo "build with deploy/system.toml and review/build.sh first" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -case leave-behind-queue -trouble=$trouble -record review/3/record.txt
