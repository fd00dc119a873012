#!/bin/bash
# A request crashes each backend server that runs it and comes again, while configurations move its route to other
# services. Exits with 1 if it reaches more than three backend servers later than contact_ms after it has crashed the
# third, 0 if not, and 2 if the case could not run. TROUBLE=0: the route stays where it is.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
[ -x target/dandelionspoke ] && [ -x target/review-standin-2 ] || exit 2
exec timeout --signal=KILL 110 target/review-standin-2 crashing-request "$PWD/target/dandelionspoke" "$PWD" review/9/record.txt
