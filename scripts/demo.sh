#!/usr/bin/env bash
# Starts the local fleet, sends the workloads of examples/01-local-fleet/load.toml through it, prints
# the report and stops the fleet. Exits with 0 only if every response was complete, no idempotency key
# was executed more than once and all daemons drained. With --serve, runs the fleet until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
work=build/local-fleet
# A fleet.json left by an earlier run would be taken for a sign that this fleet is ready.
rm -rf "$work"
scripts/setup.sh
scripts/build.sh
build/local_fleet --programs build --work "$work" --rules examples/01-local-fleet/rules.txt &
fleet=$!
stop() {
  kill -TERM "$fleet" 2>/dev/null || true
  wait "$fleet"
}
trap 'stop || true' EXIT
trap 'exit 130' INT TERM
until [ -e "$work/fleet.json" ]; do
  kill -0 "$fleet" 2>/dev/null || { echo "demo: local fleet exited before it was ready" >&2; exit 1; }
  sleep 0.1
done
if [ "${1:-}" = "--serve" ]; then
  wait "$fleet"
  exit
fi
entries=()
while read -r address; do entries+=(--entry "$address"); done < <(
  sed -n '/"entries"/,/\]/p' "$work/fleet.json" | grep -oE '[0-9.]+:[0-9]+')
daemons=()
while read -r address; do daemons+=(--daemon "$address"); done < <(
  grep '"operator"' "$work/fleet.json" | grep -oE '[0-9.]+:[0-9]+')
status=0
build/lagoonctl "${entries[@]}" "${daemons[@]}" --mix examples/01-local-fleet/load.toml --seconds 5 load || status=$?
build/check_runs "$work/fleet.json" || status=1
trap - EXIT
stop || { echo "demo: local fleet did not drain cleanly" >&2; status=1; }
exit "$status"
