#!/usr/bin/env bash
# Runs the load tool against real gateways: callers of three kinds, a crash of
# the primary during the run, a table and a chart of the outcomes.
set -euo pipefail
cd "$(dirname "$0")/../.."
export BUILD="${BUILD:-build}"
. scripts/fleet.sh
fleet_test

fleet_up 2
"$BUILD/load_sessions" --gateway "$fleet_host:$(cat "$fleet/gateway-1.port")" \
  --gateway "$fleet_host:$(cat "$fleet/gateway-2.port")" --control "$fleet_control" \
  --callers 3 --pause 50 --seconds 7 --fault '2 /fault/crash {"id":"db-a"}' \
  --svg "$fleet/load.svg" >"$fleet/table" || fail "the run failed"
cat "$fleet/table"
for kind in records gates renewals; do
  [ "$(awk -v kind="$kind" '$1 == kind {print $2}' "$fleet/table")" -gt 20 ] || fail "no $kind in goal"
done
# Writes resume after the crash, which interrupts about 1.5 s of the 7 s run.
"$BUILD/ryefoldctl" gateways --json --server "$fleet_host:$(cat "$fleet/gateway-1.ready")" |
  jq -e '.[0].groups[0] | .primary != "db-a" and .writes_held == false' >/dev/null ||
  fail "nobody leads after the loss"
grep -q '</svg>' "$fleet/load.svg" || fail "no picture"
if "$BUILD/load_sessions" --gateway 127.0.0.1:1 --fault 'soon /x' >/dev/null 2>&1; then
  fail "a fault without a time was taken"
fi
echo "ok"
