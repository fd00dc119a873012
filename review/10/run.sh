#!/bin/bash
# A backend server deregisters while the store is down, all nodes are killed at once before the store is back, and a heartbeat
# that was sent before arrives late. Exits with 1 if requests reach the backend server later than drain_ms after the
# acknowledgement, 0 if not, and 2 if the case could not run. TROUBLE=0: the store is up and no node is killed.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
[ -x target/dandelionspoke ] && [ -x target/review-standin-2 ] || exit 2
exec timeout --signal=KILL 100 target/review-standin-2 departed-server "$PWD/target/dandelionspoke" "$PWD" review/10/record.txt
