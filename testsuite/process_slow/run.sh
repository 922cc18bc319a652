#!/usr/bin/env bash
# Statements that run for three seconds on databases that are well, twice as
# many as there are slots, so that half of them wait their turn first. Nothing
# has failed, so nobody may be taken for lost: the callers get their results,
# and no promotion and no change of keeper follows.
cd "$(dirname "$0")/../.."
. testsuite/standins/process.sh

readonly W=tamworth-gates GROUP=passport-1
outcome() { jq -r '"\(.outcome) \(.reason // "")"' <<<"$1"; }
suspicions() { cat "$stack"/instance-*.log | grep -c 'event=instance_suspected' || true; }

up --instances 3
answer=$(ask instance-1 $W "$(write_fields create 'CREATE TABLE orders (id TEXT)')")
check "create" "$(outcome "$answer")" "done "
for one in a b c; do fault "$GROUP-$one" '{"stall_ms":3000}'; done
before=$(suspicions)
for n in 1 2 3 4 5 6; do
  ask "instance-$((n % 3 + 1))" $W "{\"kind\":\"write\",\"request_id\":\"slow-$n\",\"deadline_ms\":30000,
    \"sql\":\"INSERT INTO orders VALUES ('slow-$n')\"}" >"$work/slow.$n" &
done
wait
for n in 1 2 3 4 5 6; do
  check "slow write $n" "$(outcome "$(cat "$work/slow.$n")")" "done "
done
answer=$(ask instance-2 $W '{"deadline_ms":30000,"sql":"SELECT count(*) FROM orders"}')
check "slow read" "$(outcome "$answer")" "done "
check "instances suspected meanwhile" "$(($(suspicions) - before))" 0
check "term of the primary" "$(post $GROUP-a /v1/status '{}' | jq -c '[.role, .adopted_term]')" '["primary",1]'
passed
