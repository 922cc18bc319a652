#!/usr/bin/env bash
# Three gateways before the stand-in under load; the primary is lost after eight
# seconds. Prints what callers got and leaves a picture in load.svg.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD="${BUILD:-build}"
fleet=$(mktemp -d)
. scripts/fleet.sh
trap 'fleet_down; rm -rf "$fleet"' EXIT
fleet_up 3
gateways=()
for n in 1 2 3; do
  gateways+=(--gateway "$fleet_host:$(cat "$fleet/gateway-$n.port")")
done
"$BUILD/load_sessions" "${gateways[@]}" --control "$fleet_control" --seconds 20 \
  --callers "${CALLERS:-8}" --fault '8 /fault/crash {"id":"db-a"}' --svg load.svg
echo "picture: load.svg"
