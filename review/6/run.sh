#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/whinhaven target/review-2/release/review2-case; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2; exit 2; }
done
exec target/review-2/release/review2-case endless review/6
