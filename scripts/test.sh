#!/usr/bin/env bash
# Installs dependencies, builds, and runs the tests. Failures of tests listed in KNOWN-RED.txt are
# printed, but do not fail the script.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
passed=0
failed=0
known=0
mkdir -p build/test-logs
# Records the result of a test program by its exit code.
count() {
  local name=$1 code=$2
  if [ "$code" -eq 0 ]; then
    passed=$((passed + 1))
  elif grep -q "^test: $name\$" KNOWN-RED.txt 2>/dev/null; then
    known=$((known + 1))
    echo "known red: $name"
    sed -n "/^test: $name\$/,/^\$/p" KNOWN-RED.txt
  else
    failed=$((failed + 1))
    echo "FAILED: $name"
    tail -n 60 "build/test-logs/$name.log"
  fi
}
# The soak test is idle most of the time between its steps, so it runs in parallel with the others.
timeout 300 build/gateway_soak --seconds 4 --seeds 101-105,110 >build/test-logs/gateway_soak.log 2>&1 &
soak=$!
timeout 580 build/gateway_soak --seconds 4 --regressions tests/soak/regression_seeds.txt \
  >build/test-logs/gateway_soak_regressions.log 2>&1 &
regressions=$!
for program in build/tests/*_test; do
  name=$(basename "$program")
  code=0
  timeout 300 "$program" >"build/test-logs/$name.log" 2>&1 || code=$?
  count "$name" "$code"
done
code=0
wait "$soak" || code=$?
count gateway_soak "$code"
code=0
wait "$regressions" || code=$?
count gateway_soak_regressions "$code"
echo "$passed passed, $failed failed, $known skipped"
[ "$failed" -eq 0 ]
