#!/usr/bin/env bash
# Concurrent publishes by two operators, a lost reply of the platform, a platform
# outage, and a restart of an instance during the outage.
cd "$(dirname "$0")/../.."
. testsuite/standins/process.sh

readonly ROUNDS=5 KEY=template/gold W=tamworth-gates

documents() { admin "$1" "/v1/admin/documents?prefix=$KEY" | head -n 1; }
version_of() { documents "$1" | jq -r --arg key $KEY '.documents[$key].version'; }
weight_of() { documents "$1" | jq -r --arg key $KEY '.documents[$key].text | fromjson | .weight'; }
revision_of() { documents "$1" | jq -r .revision; }
# change ID VERSION WEIGHT: prints the body of a publish call for the template.
change() {
  documents instance-1 | jq -c --arg key $KEY --arg id "$1" \
    --argjson version "$2" --argjson weight "$3" \
    '{change_id: $id, author: $id, changes: [{key: $key, base_version: $version,
      text: (.documents[$key].text | fromjson | .weight = $weight | tostring)}]}'
}
publish() { admin "$1" /v1/admin/publish "$2"; }
code() { tail -n 1 <<<"$1"; }
in_force_everywhere() {
  local n
  for n in 1 2 3; do
    [ "$(weight_of "instance-$n")" = "$1" ] || return 1
  done
}

up --instances 3
eventually "first configuration everywhere" in_force_everywhere 4

# Two operators publish changes of the same template version through different
# instances. One of them must get a conflict; otherwise the other's change would
# be overwritten without notice.
for round in $(seq $ROUNDS); do
  seen=$(version_of instance-1)
  publish instance-1 "$(change "first-$round" "$seen" $((10 + round)))" >"$work/first" &
  first=$!
  publish instance-2 "$(change "second-$round" "$seen" $((20 + round)))" >"$work/second" &
  wait "$first" $!
  codes="$(tail -n 1 "$work/first") $(tail -n 1 "$work/second")"
  case "$codes" in
    "200 409") winner=$((10 + round)) ;;
    "409 200") winner=$((20 + round)) ;;
    *) winner=none ;;
  esac
  check_that "round $round has one winner (got $codes)" test "$winner" != none
  eventually "round $round: in force everywhere" in_force_everywhere "$winner"
  check "round $round: one version more" "$(version_of instance-3)" $((seen + 1))
done

# The same with the command-line tool: both operators publish against the same
# base documents, and the second one gets the conflict, however late it is.
ctl() { # INSTANCE COMMAND...
  "$BUILD/ryefoldctl" "${@:2}" --server "${addresses[$1]}" \
    --admin-key "$(cat "$stack/admin_key")"
}
edited() { # WEIGHT: prints the configuration file with another weight
  jq --argjson weight "$1" '{templates: {gold: (.templates.gold | .weight = $weight)}}' \
    "$stack/configuration.json"
}
ctl instance-1 show --json >"$work/seen.json"
edited 26 >"$work/one.json"
edited 27 >"$work/two.json"
ctl instance-1 publish "$work/one.json" --base "$work/seen.json" >"$work/ctl.one" 2>&1 && status=0 || status=$?
check "first to publish" "$status" 0
ctl instance-2 publish "$work/two.json" --base "$work/seen.json" >"$work/ctl.two" 2>&1 && status=0 || status=$?
check "second to publish" "$status" 1
check_that "it is told of the conflict" grep -qi "$KEY" "$work/ctl.two"
eventually "the first one's change everywhere" in_force_everywhere 26

# The store applies the change, and its reply is lost. The instance must determine
# the outcome: reporting a failure would make the operator publish twice, and
# reporting success without a check could be wrong.
before=$(revision_of instance-1)
body=$(change lost "$(version_of instance-1)" 31)
fault platform '{"lose_put_answers":1}'
answer=$(publish instance-1 "$body")
check "answer lost" "$(code "$answer")" 200
eventually "in force after the lost answer" in_force_everywhere 31
check "made once" "$(revision_of instance-1)" $((before + 1))
answer=$(publish instance-2 "$body")
check "the same change again" "$(code "$answer")" 200
check "still made once" "$(revision_of instance-1)" $((before + 1))

# The platform is down. The accepted configuration stays in force, statements are
# served, a restarted instance gets the configuration from its peers, and no
# publish is acknowledged.
fault platform '{"down":true}'
check "served with the platform down" \
  "$(ask instance-1 $W '{"sql":"SELECT 1"}' | jq -r .outcome)" done
kill -KILL "${pids[instance-3]}"
start_again instance-3
eventually "the restarted instance is ready" ready instance-3
check "it knows the last change" "$(weight_of instance-3)" 31
check "its revision" "$(revision_of instance-3)" "$(revision_of instance-1)"
served() { [ "$(ask instance-3 $W '{"sql":"SELECT 1"}' | jq -r .outcome)" = done ]; }
eventually "it serves" served
answer=$(publish instance-2 "$(change during "$(version_of instance-1)" 41)")
during=$(code "$answer")
check_that "publish during the outage ($during)" test "$during" = 503 -o "$during" = 504

# The platform is up again. A definitely refused change never appears, the next
# change is accepted, and revisions never decrease.
low=$(revision_of instance-1)
fault platform '{"down":false}'
accepted() {
  [ "$(code "$(publish instance-1 "$(change after "$(version_of instance-1)" 51)")")" = 200 ]
}
eventually "publish after the outage" accepted
eventually "in force after the outage" in_force_everywhere 51
check_that "revisions only rise" test "$(revision_of instance-3)" -gt "$low"
check "no trace of a refused change" \
  "$([ "$during" = 504 ] && echo 0 || admin instance-1 "/v1/admin/history?key=$KEY" |
    head -n 1 | jq '[.entries[] | select(.change_id == "during")] | length')" 0
passed
