#!/usr/bin/env bash
# Starts the local fleet, sends both users' workloads through it, prints the report and stops it.
# Exits with 0 only if every answer was whole and no booking ran twice.
# With --serve it leaves the fleet up until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
work=build/local-fleet
# An old fleet.json must not look like the one of this run.
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
  kill -0 "$fleet" 2>/dev/null || { echo "demo: the local fleet didn't come up" >&2; exit 1; }
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
stop || { echo "demo: the fleet didn't drain cleanly" >&2; status=1; }
exit "$status"
