#!/usr/bin/env bash
# Shows the whole path: three instances before three database groups, a write
# through one instance, reads through others, the loss of a primary.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD="${BUILD:-build}"

readonly GROUP=passport-1
readonly WORKSPACE=tamworth-gates
readonly TRIES=200
work=$(mktemp -d)
stack="$work/stack"

finish() {
  local code=$?
  if [ -e "$stack/stack.json" ]; then
    scripts/local_stack.sh down --dir "$stack" || true
  fi
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT

say() { printf '\n== %s\n' "$1"; }
fail() {
  echo "demo: $1" >&2
  exit 1
}
process() {
  jq -r --arg name "$1" --arg what "$2" \
    '.processes[] | select(.name == $name) | .[$what]' "$stack/stack.json"
}

# ask INSTANCE FIELDS: one statement; prints the answer.
ask() {
  curl -s -m 20 "http://$(process "$1" address)/v1/statement" \
    -H "Authorization: Bearer $key" \
    -d "{\"workspace\":\"$WORKSPACE\",${2#\{}"
}
show() { jq -c 'del(.session)' <<<"$1"; }
expect_done() {
  [ "$(jq -r .outcome <<<"$1")" = done ] || fail "not done: $1"
}
insert() {
  printf '{"kind":"write","request_id":"%s","deadline_ms":1000,"sql":"INSERT INTO cards VALUES (?, ?)","params":[%d,"%s"]}' "$1" "$2" "$3"
}
primary() {
  local letter
  for letter in a b c; do
    curl -s -m 1 "$(process "$GROUP-$letter" address)/v1/status" -d '{}' |
      jq -r 'select(.role == "primary") | .database' || true
  done
}

say "starting the platform, nine databases and three instances"
scripts/local_stack.sh up --instances 3 --dir "$stack"
jq -r '.processes[] | "\(.kind) \(.name) \(.address)"' "$stack/stack.json" | column -t
key=$(jq -r --arg name "$WORKSPACE" \
  '.workspaces[] | select(.name == $name) | .key' "$stack/stack.json")

say "a table and a card, written through instance-1"
answer=$(ask instance-1 '{"kind":"write","request_id":"create","sql":"CREATE TABLE cards (id INTEGER PRIMARY KEY, holder TEXT)"}')
expect_done "$answer"
answer=$(ask instance-1 "$(insert renew-17 17 'A. Mason')")
expect_done "$answer"
show "$answer"
session=$(jq -r .session <<<"$answer")

say "the same session reads it through instance-2"
answer=$(ask instance-2 "{\"session\":\"$session\",\"sql\":\"SELECT * FROM cards\"}")
expect_done "$answer"
show "$answer"
[ "$(jq -c .rows <<<"$answer")" = '[[17,"A. Mason"]]' ] ||
  fail "the read does not show the write"

say "a history read, served by a replica"
for ((turn = 0; turn < TRIES; ++turn)); do
  answer=$(ask instance-3 "{\"session\":\"$session\",\"max_age_ms\":5000,\"sql\":\"SELECT * FROM cards\"}")
  [ "$(jq .served_by.replica <<<"$answer")" != true ] || break
  sleep 0.05
done
show "$answer"
[ "$(jq .served_by.replica <<<"$answer")" = true ] ||
  fail "no replica served a read"

say "the primary is killed; writes go on"
lost=$(primary)
[ -n "$lost" ] || fail "no primary"
echo "killing $lost (process $(process "$lost" pid))"
kill -KILL "$(process "$lost" pid)"
begin=${EPOCHREALTIME/./}
for ((turn = 0; turn < TRIES; ++turn)); do
  answer=$(ask instance-2 "$(insert "renew-18" 18 'B. Mason')")
  outcome=$(jq -r .outcome <<<"$answer")
  echo "$(((${EPOCHREALTIME/./} - begin) / 1000)) ms: $outcome $(jq -r '.reason // ""' <<<"$answer")"
  [ "$outcome" != done ] || break
  sleep 0.1
done
[ "$outcome" = done ] || fail "no write was done after the loss"
echo "first write done after $(((${EPOCHREALTIME/./} - begin) / 1000)) ms; the primary is now $(primary)"
session=$(jq -r .session <<<"$answer")
answer=$(ask instance-3 "{\"session\":\"$session\",\"sql\":\"SELECT * FROM cards ORDER BY id\"}")
expect_done "$answer"
show "$answer"
[ "$(jq -c '[.rows[][0]]' <<<"$answer")" = '[17,18]' ] ||
  fail "the rows are not what was acknowledged"

say "the platform's path: two gateways before a group on the line protocol"
fleet="$work/fleet"
. scripts/fleet.sh
trap 'fleet_down; finish' EXIT
fleet_up 2
open_session 1 records || fail "no session"
echo "WRITE card-17 renewed -> $(ask demo1 'WRITE card-17 renewed')"
echo "BEGIN -> $(ask demo2 BEGIN), READ -> $(ask demo3 'READ card-17'), COMMIT -> $(ask demo4 COMMIT)"
fleet_fault /fault/crash '{"id":"db-a"}'
begin=${EPOCHREALTIME/./}
for ((turn = 0; turn < TRIES; ++turn)); do
  answer=$(ask "demo-gap$turn" 'WRITE card-18 renewed')
  [[ "$answer" != COMPLETE* ]] || break
done
[[ "$answer" == COMPLETE* ]] || fail "no write after the loss of the primary"
echo "primary lost; first write done after $(((${EPOCHREALTIME/./} - begin) / 1000)) ms: $answer"
sleep 0.6
"$BUILD/ryefoldctl" explain demo1 "$fleet"/gateway-*.log | head -n 8
fleet_down

say "done"
