#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not be played.
# TROUBLE=0 leaves the disruption out. review/build.sh comes first.
cd "$(dirname "$0")" || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
../../target/review-testbed -case lease -trouble=$trouble -entry ../../target/banyanrail-entry -record record.txt &
child=$!
trap 'kill -TERM $child' TERM INT HUP
wait $child
status=$?
while kill -0 $child 2>/dev/null; do # a signal ends the first wait
  wait $child
  status=$?
done
[ $status -le 1 ] || exit 2
exit $status
