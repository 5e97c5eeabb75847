#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption, and must exit with 0: the gateways are not stopped; the deadly request is sent all the same.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lagoonwindd ] && [ -x target/review/poison_rolls ] || exit 2
RECORD=review/2/record.txt timeout -s KILL 118 target/review/poison_rolls
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
