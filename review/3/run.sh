#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lagoonwindd ] && [ -x target/review/late_beat ] || exit 2
RECORD=review/3/record.txt timeout -s KILL 118 target/review/late_beat
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
