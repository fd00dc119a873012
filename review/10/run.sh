#!/bin/bash
# Clients leave while their requests with long bodies wait for a busy backend server. Exits with 1 if more than a few of
# these requests reach it over half a second later, 0 if not, and 2 if the case could not run. TROUBLE=0: no client leaves.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
[ -x target/dandelionspoke ] && [ -x target/review-standin-2 ] || exit 2
exec timeout --signal=KILL 110 target/review-standin-2 clients-leave "$PWD/target/dandelionspoke" "$PWD" review/10/record.txt
