#!/usr/bin/env bash
# The platform stand-in behind its sockets: watches, and the faults that the
# platform has.
cd "$(dirname "$0")/../.."
. testsuite/standins/process.sh

up --instances 0
call_platform() { post platform "$@"; }
code_of() {
  curl -s -m "${3:-20}" -o /dev/null -w '%{http_code}' "${addresses[platform]}$1" -d "$2" || true
}
version() { call_platform /v1/get "{\"key\":\"$1\"}" | jq .version; }

# A watch answers with the change, and counts as one call.
check "first put" "$(call_platform /v1/put '{"key":"k","value":"1","expect":0}' | jq .version)" 1
call_platform /v1/watch '{"key":"k","after":1,"wait_ms":15000}' >"$work/watch" &
watch=$!
watching() { [ "$(call_platform /debug/calls '{}' | jq .watch)" = 1 ]; }
eventually "the watch arrives" watching
check "conflict" "$(code_of /v1/put '{"key":"k","value":"x","expect":0}')" 409
check "nothing yet" "$(wc -c <"$work/watch")" 0
call_platform /v1/put '{"key":"k","value":"2","expect":1}' >/dev/null
wait "$watch"
check "watched" "$(jq -c . "$work/watch")" '{"version":2,"value":"2"}'
check "watch that runs out" "$(call_platform /v1/watch '{"key":"k","after":2,"wait_ms":1}' | jq .version)" 2
check "watch behind" "$(call_platform /v1/watch '{"key":"k","after":0,"wait_ms":15000}' | jq .version)" 2
check "calls" "$(call_platform /debug/calls '{}' | jq -c '[.put, .watch]')" '[3,3]'

# The answer to a put is lost though the change took effect.
fault platform '{"lose_put_answers":1}'
check "lost answer" "$(code_of /v1/put '{"key":"k","value":"3","expect":2}')" 000
check "took effect" "$(version k)" 3
check "only one is lost" "$(code_of /v1/put '{"key":"k","value":"4","expect":3}')" 200

# Refusing closes at once; down accepts and never answers.
fault platform '{"refuse":true}'
check "refused" "$(code_of /v1/get '{"key":"k"}')" 000
fault platform '{"refuse":false,"down":true}'
call_platform /v1/get '{"key":"k"}' >"$work/held" &
held=$!
arrived() { [ "$(call_platform /debug/calls '{}' | jq .get)" -ge 3 ]; }
eventually "the held call arrives" arrived
check "no answer" "$(wc -c <"$work/held")" 0
fault platform '{"down":false}'
wait "$held" || true
check "lost with the outage" "$(wc -c <"$work/held")" 0
check "up again" "$(version k)" 4
fault platform '{"slow_ms":20}'
check "slow" "$(version k)" 4

# Bounds and bad calls.
printf '{"key":"big","expect":0,"value":"%s"}' "$(head -c 1048577 /dev/zero | tr '\0' x)" >"$work/big"
check "too large" "$(code_of /v1/put "@$work/big")" 413
check "broken" "$(code_of /v1/get '{"key":')" 400
check "unknown" "$(code_of /v1/nothing '{}')" 404
check "instances" "$(curl -s "${addresses[platform]}/v1/instances" | jq '.instances | length')" 9
passed
