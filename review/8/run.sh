#!/bin/bash
# All backend servers of a service crash at once and are back after 4.5 s. Exits with 1 if requests on a route that was
# added later are then served less than a quarter as often as those on the first route, 0 if not, and 2 if the case could
# not run. TROUBLE=0: no backend server crashes.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
[ -x target/dandelionspoke ] && [ -x target/review-standin-2 ] || exit 2
exec timeout --signal=KILL 110 target/review-standin-2 all-crash "$PWD/target/dandelionspoke" "$PWD" review/8/record.txt
