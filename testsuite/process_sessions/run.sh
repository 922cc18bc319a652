#!/usr/bin/env bash
# Sessions through real daemons, and the three log searches that
# docs/OPERATIONS.md describes: a request that timed out, one that was refused,
# and one whose outcome is in doubt. Each is found in the logs by its request id,
# together with the line that states the cause.
set -euo pipefail
cd "$(dirname "$0")/../.."
export BUILD="${BUILD:-build}"
. scripts/fleet.sh
fleet_test

# explained ID PATTERN WHAT: checks that `ryefoldctl explain ID` prints a line
# that matches PATTERN.
explained() {
  sleep 0.6 # log lines are flushed a few times per second
  "$BUILD/ryefoldctl" explain "$1" "$fleet"/gateway-*.log >"$fleet/explained" ||
    fail "$3: the id is not in the logs"
  grep -qE "$2" "$fleet/explained" || {
    cat "$fleet/explained" >&2
    fail "$3: the cause is not shown"
  }
}

fleet_up 2
"$BUILD/ryefoldd" --sessions --check-settings --settings "$fleet/gateway-1.json" >/dev/null ||
  fail "settings of a running gateway have findings"
sed 's/"store_address"/"store_adress"/' "$fleet/gateway-1.json" >"$fleet/bad.json"
if "$BUILD/ryefoldd" --sessions --check-settings --settings "$fleet/bad.json" 2>"$fleet/findings"; then
  fail "a misspelt setting went unnoticed"
fi
grep -q 'bad.json:[0-9]*:[0-9]*: store_adress' "$fleet/findings" || fail "a finding without its place"

open_session 1 records || fail "no session"
[[ "$(ask w1 'WRITE card-17 renewed')" == COMPLETE* ]] || fail "a write was not done"
[[ "$(ask r1 'READ card-17')" == COMPLETE* ]] || fail "a read was not done"
explained w1 'event=answered request=w1 .*outcome=none database=db-a' "an ordinary write"

# The operators' view: the primary, the configuration in force, held writes.
status="$("$BUILD/ryefoldctl" gateways --json --server "$fleet_host:$(cat "$fleet/gateway-1.ready")" \
  --server "$fleet_host:$(cat "$fleet/gateway-2.ready")")"
[ "$(jq -r '.[0].groups[0].primary' <<<"$status")" = db-a ] || fail "no primary in: $status"
[ "$(jq -r 'map(.config_version) | unique | length' <<<"$status")" = 1 ] || fail "versions differ: $status"
[ "$(jq -r '.[1].groups[0].writes_held' <<<"$status")" = false ] || fail "writes are held: $status"
"$BUILD/ryefoldctl" gateways --server "$fleet_host:$(cat "$fleet/gateway-1.ready")" |
  grep -q '^gateway-1 .*ready' || fail "no table of gateways"
"$BUILD/ryefoldctl" workspaces --server "$fleet_host:$(cat "$fleet/gateway-1.ready")" |
  grep -q '^WORKSPACE ' || fail "no table of workspaces"
if "$BUILD/ryefoldctl" gateways --server 127.0.0.1:1 >/dev/null 2>&1; then
  fail "a gateway that is not there was shown"
fi

# The reply to a commit in flight is lost. The outcome is unknown, and the caller
# must get INDOUBT.
[[ "$(ask b1 BEGIN)" == COMPLETE* ]] || fail "no transaction"
[[ "$(ask b2 'WRITE card-18 renewed')" == COMPLETE* ]] || fail "no write in the transaction"
fleet_fault /fault/mute '{"id":"db-a"}'
[[ "$(ask doubt COMMIT)" == "ERROR INDOUBT"* ]] || fail "a lost commit was not told as doubt"
explained doubt 'request=doubt .*outcome=in_doubt database=db-a' "a commit in doubt"

# A read that only the primary may serve gets no reply, because the connection to
# the primary drops data.
slow="$(ask late 'READ card-17')"
[[ "$slow" == "ERROR TIMEOUT"* || "$slow" == "ERROR BUSY"* || "$slow" == COMPLETE* ]] ||
  fail "a silent database led to: $slow"
explained late 'request=late' "a read before a silent database"

# The primary crashes. Writes are refused as not executed until another database
# is promoted.
fleet_fault /fault/crash '{"id":"db-a"}'
refused=""
for ((turn = 0; turn < 40; ++turn)); do
  answer="$(ask "gap$turn" 'WRITE card-19 renewed')"
  [[ "$answer" != "ERROR BUSY"* ]] || refused="gap$turn"
  [[ "$answer" != COMPLETE* ]] || break
done
[[ "$answer" == COMPLETE* ]] || fail "no write after the loss of the primary: $answer"
if [ -n "$refused" ]; then
  explained "$refused" 'event=refused request=' "a write refused in the gap"
  # Guards against log lines that lack what `ryefoldctl losses` counts by.
  cat "$fleet"/gateway-*.log | "$BUILD/ryefoldctl" losses >"$fleet/losses"
  for row in '^reason +[a-z_]+ +[1-9]' '^route +[a-z0-9-]+ +[1-9]' '^group +[a-z0-9-]+ +[1-9]'; do
    grep -qE "$row" "$fleet/losses" || {
      cat "$fleet/losses" >&2
      fail "losses has no row $row"
    }
  done
fi
grep -h 'event=promotion_ordered' "$fleet"/gateway-*.log | grep -q 'cause=' ||
  fail "no line tells why another primary was named"

if "$BUILD/ryefoldctl" explain no-such-id "$fleet"/gateway-1.log 2>/dev/null; then
  fail "an id that no log has was explained"
fi
echo "ok"
