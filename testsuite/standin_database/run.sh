#!/usr/bin/env bash
# The database stand-in behind its sockets: connection limit, lost and cut
# answers, log shipping, waiting calls, faults.
cd "$(dirname "$0")/../.."
. testsuite/standins/process.sh

up --instances 0
readonly A=passport-1-a B=passport-1-b C=passport-1-c
last() { post "$1" /v1/status '{}' | jq -c .last; }
same_last() { [ "$(last "$1")" = "$(last "$2")" ]; }
ids_of() { log_of "$1" | jq -r '.[].request_id'; }
connections() { post "$1" /debug/connections '{}' | jq -r ".$2"; }

# A statement on a connection that was never opened is refused.
connect $A
call "$fd" /v1/execute "$(statement 1 write t 'CREATE TABLE t (n TEXT)')"
check "execute without open" "$code" 409
call "$fd" /v1/open '{}'
check "open" "$code" 200
main=$fd
call "$main" /v1/execute "$(statement 1 write t 'CREATE TABLE t (n TEXT)')"
check "write" "$(jq -r .status <<<"$body")" ok
eventually "replica b catches up" same_last $A $B
eventually "replica c catches up" same_last $A $C

# The limit counts open connections; a closed one makes room.
held=()
for i in $(seq 19); do
  connect $A
  held+=("$fd")
  call "$fd" /v1/open '{}'
  check "open $i" "$code" 200
done
connect $A
one_more=$fd
call "$one_more" /v1/open '{}'
check "one too many" "$code" 503
check "open connections" "$(connections $A open)" 20
check "refused" "$(connections $A refused)" 1
for one in "${held[@]}"; do exec {one}>&-; done
eventually "closed ones make room" test "$(connections $A open)" -le 20
reopen() { call "$one_more" /v1/open '{}' && [ "$code" = 200 ]; }
eventually "room again" reopen
exec {one_more}>&-

# The answer is lost after the write took effect: the connection closes, and a
# repeat on another one is answered from the record.
fault $A '{"drop_answers":1}'
call "$main" /v1/execute "$(statement 1 write lost "INSERT INTO t VALUES ('lost')")"
check "lost answer" "$code" 000
connect $A
main=$fd
call "$main" /v1/open '{}'
call "$main" /v1/execute "$(statement 1 write lost "INSERT INTO t VALUES ('lost')")"
check "repeat" "$(jq -c '[.status, .from_record]' <<<"$body")" '["ok",true]'
fault $A '{"truncate_answers":1}'
call "$main" /v1/execute "$(statement 1 write half "INSERT INTO t VALUES ('half')")"
check "half an answer" "$code" 000
check_that "half of it did arrive" test -n "$body"
connect $A
main=$fd
call "$main" /v1/open '{}'
check "each ran once" "$(ids_of $A | sort | uniq -d | grep -c .)" 0

# Status waits for a change, and answers at once while statements are stalled.
eventually "level" same_last $A $B
known=$(post $A /v1/status '{}' | jq -c '{known_term: .adopted_term, known_last: .last, wait_ms: 15000}')
post $B /v1/status "$known" >"$work/waited" &
waiter=$!
fault $A '{"stall_ms":300}'
(call "$main" /v1/execute "$(statement 1 write slow "INSERT INTO t VALUES ('slow')")") &
writer=$!
received() { post $A /debug/running '{}' | jq -e 'any(.calls[]; .request_id == "slow")' >/dev/null; }
eventually "the slow write arrives" received
check "settle while it runs" \
  "$(post $A /v1/settle '{"term":1,"request_id":"slow","workspace":"test"}' | jq -r .status)" in_progress
wait "$writer" "$waiter"
fault $A '{"stall_ms":0}'
check "the wait ended with the entry" "$(jq -c .last "$work/waited")" "$(last $A)"

# Cut off from its peers the primary still takes writes, which go nowhere. A
# replica is promoted; afterwards the three logs are one.
fault $A '{"cut":true}'
connect $A
main=$fd
call "$main" /v1/open '{}'
call "$main" /v1/execute "$(statement 1 write alone "INSERT INTO t VALUES ('alone')")"
check "write while cut off" "$(jq -r .status <<<"$body")" ok
for one in $B $C; do
  check "adopt" "$(post $one /v1/adopt '{"term":2,"proposer":"test"}' | jq .accepted)" true
done
check "promote" "$(post $B /v1/promote '{"term":2,"proposer":"test"}' | jq .accepted)" true
check "follow" "$(post $C /v1/follow "{\"term\":2,\"proposer\":\"test\",\"primary\":\"$B\"}" | jq .accepted)" true
connect $B
call "$fd" /v1/open '{}'
call "$fd" /v1/execute "$(statement 2 write after "INSERT INTO t VALUES ('after')")"
check "write in the new term" "$(jq -c .position.term <<<"$body")" 2
eventually "the follower has it" same_log $B $C
check "the old primary does not" "$(ids_of $A | grep -c '^after$')" 0
post $A /v1/follow "{\"term\":2,\"proposer\":\"test\",\"primary\":\"$B\"}" >/dev/null
check "still cut off" "$(ids_of $A | grep -c '^alone$')" 1
fault $A '{"cut":false}'
eventually "one log" same_log $A $B
check "the discarded write is gone" "$(ids_of $A | grep -c '^alone$')" 0

# Down: every connection ends, only /fault is served, the log survives.
before=$(log_of $B)
fault $B '{"down":true}'
call "$fd" /v1/execute "$(statement 2 write never "INSERT INTO t VALUES ('never')")"
check "statement while down" "$code" 000
check "status while down" "$(post $B /v1/status '{}')" ""
fault $B '{"down":false}'
check "log after it" "$(log_of $B)" "$before"
check "unknown fault" "$(post $B /fault '{"downn":true}' | jq -r .error)" "no such fault"
passed
