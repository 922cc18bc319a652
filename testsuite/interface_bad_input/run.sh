#!/usr/bin/env bash
# Callers send what they should not: broken JSON, wrong types, huge bodies and
# headers, wrong keys, unknown names, requests that never end. Each gets a
# clear 4xx at once, nothing of it reaches a database, and the instance still
# serves the next caller.
set -euo pipefail
cd "$(dirname "$0")/../.."
TMP=$(mktemp -d)
trap 'scripts/local_stack.sh down --dir "$TMP/stack" >/dev/null 2>&1 || true; rm -rf "$TMP"' EXIT
scripts/local_stack.sh up --instances 1 --dir "$TMP/stack" >/dev/null

stack="$TMP/stack/stack.json"
entry=$(jq -r '[.processes[] | select(.kind=="instance")][0].address' "$stack")
pid=$(jq -r '[.processes[] | select(.kind=="instance")][0].pid' "$stack")
workspace=$(jq -r '.workspaces[0].name' "$stack")
key=$(jq -r '.workspaces[0].key' "$stack")
failures=0

# expect NAME STATUS [curl arguments]: the answer's status; its body goes to
# $TMP/body.
expect() {
  local name="$1" wanted="$2" got
  shift 2
  got=$(curl -s -m 10 -o "$TMP/body" -w '%{http_code}' "$@" || true)
  if [ "$got" != "$wanted" ]; then
    echo "FAILED $name: got $got, wanted $wanted: $(head -c 300 "$TMP/body")"
    failures=$((failures + 1))
  fi
}
# expect_body NAME JQ-FILTER
expect_body() {
  if ! jq -e "$2" "$TMP/body" >/dev/null 2>&1; then
    echo "FAILED $1: $(head -c 400 "$TMP/body")"
    failures=$((failures + 1))
  fi
}
statement="http://$entry/v1/statement"
auth="Authorization: Bearer $key"
good='{"workspace":"'$workspace'","sql":"SELECT 1"}'

expect "good request" 200 "$statement" -H "$auth" -d "$good"
expect "broken JSON" 400 "$statement" -H "$auth" -d '{"workspace": "x", "sql": '
expect_body "broken JSON has a place" '.findings[0].line >= 1'
expect "not an object" 400 "$statement" -H "$auth" -d '[1,2]'
expect "several findings at once" 400 "$statement" -H "$auth" \
  -d '{"workspace":7,"sql":8,"kind":"sometimes","deadline_ms":-1,"colour":"red"}'
expect_body "all findings are told" '.findings | length >= 5'
expect_body "each has a column" 'all(.findings[]; .column >= 1)'
expect "duplicate member" 400 "$statement" -H "$auth" \
  -d '{"workspace":"'$workspace'","sql":"SELECT 1","sql":"SELECT 2"}'
expect "damaged session" 400 "$statement" -H "$auth" \
  -d '{"workspace":"'$workspace'","sql":"SELECT 1","session":"AAAA"}'
deep=$(printf '[%.0s' $(seq 1 5000))
expect "nesting" 400 "$statement" -H "$auth" -d '{"workspace":"'$workspace'","sql":"SELECT 1","params":'"$deep"
expect "wrong key" 401 "$statement" -H "Authorization: Bearer nonsense" -d "$good"
cp "$TMP/body" "$TMP/wrong_key"
expect "no key" 401 "$statement" -d "$good"
expect "unknown workspace" 401 "$statement" -H "$auth" -d '{"workspace":"nobody","sql":"SELECT 1"}'
cmp -s "$TMP/body" "$TMP/wrong_key" || { echo "FAILED: an unknown workspace is told apart from a wrong key"; failures=$((failures + 1)); }
expect "other group" 403 "$statement" -H "$auth" -d '{"workspace":"'$workspace'","sql":"SELECT 1","group":"elsewhere"}'
expect "unknown path" 404 "http://$entry/v1/nothing" -d '{}'
expect "wrong method" 405 "$statement" -X GET
expect "operators' call without key" 401 "http://$entry/v1/admin/status"
expect "SQL error" 422 "$statement" -D "$TMP/headers" -H "$auth" -d '{"workspace":"'$workspace'","sql":"SELEC 1"}'
if grep -qi '^retry-after' "$TMP/headers"; then
  echo "FAILED: a statement that the database rejects is asked to come back"
  failures=$((failures + 1))
fi
expect_body "SQL error was not run" '.outcome == "not_run" and .reason == "sql_error"'
head -c 3000000 /dev/zero | tr '\0' 'x' >"$TMP/big"
expect "oversized body" 413 "$statement" -H "$auth" --data-binary "@$TMP/big"
big_header=$(head -c 60000 /dev/zero | tr '\0' 'h')
got=$(curl -s -m 10 -o /dev/null -w '%{http_code}' "$statement" -H "$auth" -H "X-Big: $big_header" -d "$good" || true)
case "$got" in
  400 | 413 | 431) ;;
  *) echo "FAILED oversized header: got $got"; failures=$((failures + 1)) ;;
esac
# Requests that stop in the middle do not keep others from being served.
for _ in $(seq 1 50); do
  { printf 'POST /v1/statement HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"work'; sleep 3; } >"/dev/tcp/${entry%:*}/${entry#*:}" &
done
sleep 0.2
expect "served beside slow senders" 200 "$statement" -H "$auth" -d "$good"
# Bytes that are no HTTP at all.
head -c 4096 /dev/urandom >"/dev/tcp/${entry%:*}/${entry#*:}" || true
expect "served after garbage" 200 "$statement" -H "$auth" -d "$good"
wait
kill -0 "$pid" || { echo "FAILED: the instance ended"; failures=$((failures + 1)); }
if grep -q "$key" "$TMP/stack"/*.log; then echo "FAILED: a key stands in a log"; failures=$((failures + 1)); fi
echo "failures: $failures"
[ "$failures" -eq 0 ]
