#!/usr/bin/env bash
# The load tool before real gateways: callers of three kinds, a primary that is
# lost on the way, a table and a picture of what callers got.
set -euo pipefail
cd "$(dirname "$0")/../.."
export BUILD="${BUILD:-build}"
. scripts/fleet.sh
fleet_test

fleet_up 2
"$BUILD/load_sessions" --gateway "127.0.0.1:$(cat "$fleet/gateway-1.port")" \
  --gateway "127.0.0.1:$(cat "$fleet/gateway-2.port")" --control "$fleet_control" \
  --callers 3 --pause 50 --seconds 7 --fault '2 /fault/crash {"id":"db-a"}' \
  --svg "$fleet/load.svg" >"$fleet/table" || fail "the run failed"
cat "$fleet/table"
for kind in records gates renewals; do
  [ "$(awk -v kind="$kind" '$1 == kind {print $2}' "$fleet/table")" -gt 20 ] || fail "no $kind in goal"
done
# Writes go on after the loss: about a second and a half of the seven is lost.
"$BUILD/ryefoldctl" gateways --json --server "127.0.0.1:$(cat "$fleet/gateway-1.ready")" |
  jq -e '.[0].groups[0] | .primary != "db-a" and .writes_held == false' >/dev/null ||
  fail "nobody leads after the loss"
grep -q '</svg>' "$fleet/load.svg" || fail "no picture"
if "$BUILD/load_sessions" --gateway 127.0.0.1:1 --fault 'soon /x' >/dev/null 2>&1; then
  fail "a fault without a time was taken"
fi
echo "ok"
