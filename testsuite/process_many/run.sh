#!/usr/bin/env bash
# Twenty real daemons before one group, of which three keep it: an instance that
# starts copies the store from another one, and a lost primary is reported to a
# holder of the duty that has no connection to it.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
fleet_test

readonly INSTANCES=20
# Time within which a primary has to be replaced.
readonly REPLACED_WITHIN_S=6

status() {
  curl -s -m 2 "http://$fleet_host:$(cat "$fleet/gateway-$1.ready")/status"
}
# logged PATTERN: waits until a gateway has logged a line that matches.
logged() {
  local turn
  for ((turn = 0; turn < REPLACED_WITHIN_S * 10; ++turn)); do
    grep -qhE "$1" "$fleet"/gateway-*.log && return 0
    sleep 0.1
  done
  return 1
}

fleet_up "$INSTANCES"
keepers() {
  local n
  for ((n = 1; n <= INSTANCES; ++n)); do
    status "$n" | jq -r 'select((.instances | length) == '"$INSTANCES"') | .groups[0].kept'
  done
}
for ((turn = 0; turn < 50; ++turn)); do
  [ "$(keepers | wc -l)" != "$INSTANCES" ] || break
  sleep 0.1
done
[ "$(keepers | wc -l)" = "$INSTANCES" ] || fail "not all instances are known: $(status 1)"
[ "$(keepers | grep -c true)" = 3 ] || fail "$(keepers | grep -c true) instances keep the group, not 3"

# Guards against a listing of the store by every instance that starts.
# Some of those that start rank as relays, which list the store.
for ((n = INSTANCES + 1; n <= INSTANCES + 4; ++n)); do
  fleet_start "$n"
done
logged "instance=gateway-$((INSTANCES + 4)) event=first_copy_planned" ||
  fail "no first copy was planned"
logged "instance=gateway-2[1-4] event=first_copy source=gateway-" ||
  fail "no instance copied from another one"

# Guards against a lost primary that the holder of the duty does not hear of.
fleet_fault /fault/crash '{"id":"db-a"}'
logged 'event=promotion_ordered ' || fail "no promotion was ordered"
logged 'event=primary_known .*previous=db-a|event=primary_known .*database=db-[bc]' ||
  fail "no successor became known"
echo "ok"
