#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0
# does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banyanrail-entry ] && [ -x target/review-fleet3 ] || exit 2
exec target/review-fleet3 -case roll -entry target/banyanrail-entry -record review/14/record.txt
