#!/usr/bin/env bash
# Guards against two gateways on one port: fleets of tests that run at the same
# time have different addresses, and a fleet gives each port once.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/fleet.sh

other=$(bash -c '. scripts/fleet.sh; echo "$fleet_host"')
[ "$other" != "$fleet_host" ] || fail "two fleets share the address $fleet_host"

declare -A given=()
for ((n = 0; n < 300; ++n)); do
  fleet_free_port chosen
  [ -z "${given[$chosen]:-}" ] || fail "port $chosen was given twice"
  given[$chosen]=1
done
echo "ok"
