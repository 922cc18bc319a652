#!/usr/bin/env bash
# Statements through several instances: a session reads its own writes
# wherever it turns, replicas serve what they may, a repeat runs once, a
# transaction moves between instances.
cd "$(dirname "$0")/../.."
. testsuite/standins/process.sh

up --instances 3
readonly W=tamworth-gates GROUP=passport-1
outcome() { jq -r .outcome <<<"$1"; }
rows() { jq -c .rows <<<"$1"; }

answer=$(ask instance-1 $W "$(write_fields create 'CREATE TABLE cards (id INTEGER, holder TEXT)')")
check "create" "$(outcome "$answer")" done

# A worker's card is renewed through one instance and scanned at the gate
# through another, while one replica is far behind: first one, then the other,
# so that the preferred one has its turn. Yesterday's state at the gate would
# turn the worker away.
stale=0
session=""
n=0
scan_beside() { # REPLICA that lags
  fault "$1" '{"lag_ms":600000}'
  for _ in $(seq 15); do
    n=$((n + 1))
    writer="instance-$((n % 3 + 1))"
    reader="instance-$(((n + 1) % 3 + 1))"
    answer=$(ask $writer $W "{\"kind\":\"write\",\"request_id\":\"renew-$n\",\"session\":\"$session\",
      \"sql\":\"INSERT INTO cards VALUES (?, ?)\",\"params\":[$n,\"A. Mason\"]}")
    check "renewal $n" "$(outcome "$answer")" done
    session=$(jq -r .session <<<"$answer")
    answer=$(ask $reader $W "{\"session\":\"$session\",\"max_age_ms\":600000,
      \"sql\":\"SELECT count(*) FROM cards\"}")
    check "scan $n" "$(outcome "$answer")" done
    session=$(jq -r .session <<<"$answer")
    [ "$(rows "$answer")" = "[[$n]]" ] || stale=$((stale + 1))
  done
  fault "$1" '{"lag_ms":0}'
  eventually "$1 is level" same_log $GROUP-a "$1"
}
scan_beside $GROUP-b
scan_beside $GROUP-c
check "scans that missed a renewal" "$stale" 0

# Nothing is written now, the replicas are level and take the reads.
from_replica=0
for n in $(seq 20); do
  answer=$(ask instance-$((n % 3 + 1)) $W "{\"session\":\"$session\",\"max_age_ms\":5000,
    \"sql\":\"SELECT count(*) FROM cards\"}")
  check "history $n" "$(rows "$answer")" "[[30]]"
  [ "$(jq .served_by.replica <<<"$answer")" != true ] || from_replica=$((from_replica + 1))
done
check_that "replicas serve reads ($from_replica of 20)" test "$from_replica" -ge 15

# The caller did not hear the answer and sends the renewal again, to another
# instance. It must not be there twice.
fields=$(write_fields renew-again "INSERT INTO cards VALUES (100, 'again')")
first=$(ask instance-1 $W "$fields")
second=$(ask instance-2 $W "$fields")
check "repeat" "$(outcome "$first") $(outcome "$second")" "done done"
check "ran once" "$(logged $GROUP-a | grep -c '^renew-again$')" 1

# One transaction through three instances.
begun=$(ask instance-1 $W '{"deadline_ms":5000}' /v1/transaction/begin)
transaction=$(jq -r .transaction <<<"$begun")
answer=$(ask instance-2 $W "{\"kind\":\"write\",\"transaction\":\"$transaction\",
  \"sql\":\"UPDATE cards SET holder = 'B. Mason' WHERE id = 1\"}")
check "update inside" "$(outcome "$answer")" done
answer=$(ask instance-3 $W '{"max_age_ms":0,"sql":"SELECT holder FROM cards WHERE id = 1"}')
check "not seen outside" "$(rows "$answer")" '[["A. Mason"]]'
answer=$(ask instance-3 $W "{\"transaction\":\"$transaction\",\"request_id\":\"commit-1\"}" /v1/transaction/commit)
check "commit" "$(outcome "$answer")" done
session=$(jq -r .session <<<"$answer")
answer=$(ask instance-1 $W "{\"session\":\"$session\",\"sql\":\"SELECT holder FROM cards WHERE id = 1\"}")
check "seen after the commit" "$(rows "$answer")" '[["B. Mason"]]'
begun=$(ask instance-2 $W '{"deadline_ms":5000}' /v1/transaction/begin)
transaction=$(jq -r .transaction <<<"$begun")
ask instance-3 $W "{\"kind\":\"write\",\"transaction\":\"$transaction\",\"sql\":\"DELETE FROM cards\"}" >/dev/null
answer=$(ask instance-1 $W "{\"transaction\":\"$transaction\"}" /v1/transaction/rollback)
check "rollback" "$(outcome "$answer")" done
answer=$(ask instance-3 $W '{"max_age_ms":0,"sql":"SELECT count(*) FROM cards"}')
check "nothing deleted" "$(rows "$answer")" '[[31]]'

# Statements that the database rejects, wrong keys, other groups.
answer=$(ask instance-1 $W "$(write_fields bad 'INSERT INTO nowhere VALUES (1)')")
check "rejected" "$(jq -r '"\(.outcome) \(.reason)"' <<<"$answer")" "not_run sql_error"
keys[wrong]="not-a-key"
code_of() {
  curl -s -m 20 -o /dev/null -w '%{http_code}' "http://${addresses[instance-2]}/v1/statement" \
    -H "Authorization: Bearer $1" -d "$2"
}
check "wrong key" "$(code_of wrong "{\"workspace\":\"$W\",\"sql\":\"SELECT 1\"}")" 401
check "other group" "$(code_of "${keys[$W]}" "{\"workspace\":\"$W\",\"group\":\"passport-2\",\"sql\":\"SELECT 1\"}")" 403
check "broken body" "$(code_of "${keys[$W]}" '{"sql":')" 400

# No database ever had more connections than it allows.
for one in a b c; do
  check "refused connections of $one" \
    "$(post $GROUP-$one /debug/connections '{}' | jq .refused)" 0
done
passed
