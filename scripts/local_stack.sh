#!/usr/bin/env bash
# Starts the stand-ins and a number of instances on free loopback ports, or
# ends them again.
#
#   local_stack.sh up [--instances N] [--profile tamworth|zendmast] [--dir D]
#   local_stack.sh down [--dir D]
#
# `up` writes D/stack.json:
#   {"processes":[{"name","kind":"instance"|"platform"|"database","group"?,
#                  "pid","address"}],
#    "workspaces":[{"name","key","group","priority"}]}
# and, beside it, admin_key, configuration.json, each instance's settings and
# each process's log. `down` ends just the processes recorded there.
# With `--instances 0` only the stand-ins are started.
set -euo pipefail
cd "$(dirname "$0")/.."

build="${BUILD:-build}"
action="${1:-}"
[ "$#" -eq 0 ] || shift
instances=3
profile=tamworth
dir=stack

readonly ATTEMPTS=10       # port choices before a start is given up
readonly READY_SECONDS=30  # for one program to come up

usage() {
  sed -n '2,7p' "$0" | sed 's/^# \{0,1\}//' >&2
  exit 2
}

fail() {
  echo "local_stack: $1" >&2
  if [ -n "${2:-}" ] && [ -s "$2" ]; then
    echo "--- last lines of $2" >&2
    tail -n 20 "$2" >&2
  fi
  exit 1
}

while [ "$#" -gt 0 ]; do
  [ "$#" -ge 2 ] || usage
  case "$1" in
    --instances) instances="$2" ;;
    --profile) profile="$2" ;;
    --dir) dir="$2" ;;
    *) usage ;;
  esac
  shift 2
done

case "$profile" in
  tamworth)
    region=midlands
    domains=(midlands-1 midlands-2 midlands-3)
    group_prefix=passport
    services=(tamworth-gates tamworth-assessors tamworth-history)
    connect_ms=10
    connection_limit=20
    ;;
  zendmast)
    region=belgium
    domains=(brussels mechelen leuven)
    group_prefix=maintenance
    services=(zendmast-orders zendmast-stock zendmast-history)
    connect_ms=30
    connection_limit=40
    ;;
  *) usage ;;
esac
readonly GROUPS_PER_PROFILE=3
readonly TEMPLATES=(gold silver bronze)
readonly SLOTS=3
callers=() peers=()  # addresses of the instances by number

# ---- processes ----

# Ports below the kernel's range for outgoing connections, so that no client
# takes one between the choice and the bind.
random_port() {
  echo $((12000 + RANDOM % 20000))
}

# start NAME LOG PROGRAM ARGS...; sets started_pid.
start() {
  local log="$2"
  shift 2
  setsid "$@" >"$log" 2>&1 </dev/null &
  started_pid=$!
  echo "$started_pid" >>"$dir/started"
}

# Waits for the line "listening ..." in LOG; false when PID ends before it.
listening() {
  local pid="$1" log="$2" turn
  for ((turn = 0; turn < READY_SECONDS * 20; ++turn)); do
    grep -q '^listening ' "$log" 2>/dev/null && return 0
    kill -0 "$pid" 2>/dev/null || return 1
    sleep 0.05
  done
  return 1
}

end_process() {
  local pid="$1" turn
  case "$(cat "/proc/$pid/comm" 2>/dev/null)" in
    ryefoldd | standin_platfor | standin_databas) ;;
    *) return 0 ;; # gone; the number may belong to somebody else by now
  esac
  kill -CONT "$pid" 2>/dev/null || true
  kill -TERM "$pid" 2>/dev/null || true
  for ((turn = 0; turn < 200; ++turn)); do
    kill -0 "$pid" 2>/dev/null || return 0
    [ "$(awk '{print $3}' "/proc/$pid/stat" 2>/dev/null)" != Z ] || return 0
    sleep 0.05
  done
  echo "local_stack: process $pid ignores SIGTERM, killing it" >&2
  kill -KILL "$pid" 2>/dev/null || true
}

# end_processes PID...: all at once, so that slow ones are waited for together.
# Only these are waited for: a plain `wait` would also wait for the programs
# that this script has started and that go on running.
end_processes() {
  local pid enders=()
  for pid in "$@"; do
    end_process "$pid" &
    enders+=($!)
  done
  [ "${#enders[@]}" -eq 0 ] || wait "${enders[@]}"
}

# record KIND NAME PID ADDRESS [GROUP]
record() {
  jq -nc --arg kind "$1" --arg name "$2" --argjson pid "$3" \
    --arg address "$4" --arg group "${5:-}" \
    '{name: $name, kind: $kind, pid: $pid, address: $address}
     + (if $group == "" then {} else {group: $group} end)' >>"$dir/processes"
}

# register KIND NAME ADDRESS FAILURE_DOMAIN [MEMBER VALUE]
register() {
  jq -nc --arg kind "$1" --arg name "$2" --arg address "$3" --arg domain "$4" \
    --arg region "$region" --arg member "${5:-}" --arg value "${6:-}" \
    '{name: $name, kind: $kind, address: $address, failure_domain: $domain,
      region: $region, state: "live"}
     + (if $member == "" then {} else {($member): $value} end)' |
    curl -sf -m 5 "$platform/admin/instance" --data-binary @- >/dev/null ||
    fail "the platform stand-in does not take $2" "$dir/platform.log"
}

# ---- what is started ----

start_platform() {
  start platform "$dir/platform.log" "$build/standin_platform" \
    --listen 127.0.0.1:0
  listening "$started_pid" "$dir/platform.log" ||
    fail "the platform stand-in does not start" "$dir/platform.log"
  platform=$(sed -n 's/^listening //p' "$dir/platform.log")
  record platform platform "$started_pid" "$platform"
}

# The databases of a group have to know each other's ports before they start.
# When one port turns out to be taken, the group starts over with others.
start_group() {
  local group="$1" attempt
  for ((attempt = 0; attempt < ATTEMPTS; ++attempt)); do
    try_group "$group" && return 0
  done
  fail "no free ports for the databases of $group" "$dir/$group-a.log"
}

try_group() {
  local group="$1" letters=(a b c) ports=() pids=() peers="" i name
  for i in 0 1 2; do
    ports[i]=$(random_port)
    peers="$peers${peers:+,}$group-${letters[i]}=127.0.0.1:${ports[i]}"
  done
  for i in 0 1 2; do
    name="$group-${letters[i]}"
    start "$name" "$dir/$name.log" "$build/standin_database" --name "$name" \
      --group "$group" --listen "127.0.0.1:${ports[i]}" \
      --primary "$group-a" --peers "$peers" --slots "$SLOTS" \
      --connection-limit "$connection_limit" --connect-ms "$connect_ms"
    pids[i]=$started_pid
  done
  for i in 0 1 2; do
    if ! listening "${pids[i]}" "$dir/$group-${letters[i]}.log"; then
      end_processes "${pids[@]}"
      return 1
    fi
  done
  for i in 0 1 2; do
    name="$group-${letters[i]}"
    record database "$name" "${pids[i]}" "127.0.0.1:${ports[i]}" "$group"
    register database "$name" "127.0.0.1:${ports[i]}" "${domains[i]}" \
      group "$group"
  done
}

# Every instance is told the peer addresses of all others, so that one that
# starts while the platform is down finds somebody to ask. They are chosen
# before the first one starts.
choose_addresses() {
  local number
  for ((number = 1; number <= instances; ++number)); do
    choose_address "$number"
  done
}
choose_address() {
  callers[$1]="127.0.0.1:$(random_port)"
  peers[$1]="127.0.0.1:$(random_port)"
}

start_instance() {
  local number="$1" attempt name="instance-$1"
  for ((attempt = 0; attempt < ATTEMPTS; ++attempt)); do
    try_instance "$number" && return 0
    grep -qi 'in use\|cannot listen\|bind' "$dir/$name.log" || break
    choose_address "$number"
  done
  fail "$name does not start" "$dir/$name.log"
}

# There is no balancer here that would need a long notice of a leave.
try_instance() {
  local number="$1" name="instance-$1" domain other seeds=()
  domain="${domains[(number - 1) % 3]}"
  for other in "${!peers[@]}"; do
    [ "$other" = "$number" ] || seeds+=("${peers[other]}")
  done
  jq -n --arg name "$name" --arg domain "$domain" --arg region "$region" \
    --arg callers "${callers[number]}" --arg peers "${peers[number]}" \
    --arg platform "$platform" --arg admin_key "$admin_key" \
    '{name: $name, failure_domain: $domain, region: $region,
      caller_address: $callers, peer_address: $peers, platform: [$platform],
      seeds: $ARGS.positional, admin_key: $admin_key, drain_notice_ms: 100}' \
    --args "${seeds[@]}" >"$dir/$name.json"
  start "$name" "$dir/$name.log" "$build/ryefoldd" --settings "$dir/$name.json"
  listening "$started_pid" "$dir/$name.log" || return 1
  record instance "$name" "$started_pid" "${callers[number]}"
  register instance "$name" "${callers[number]}" "$domain" \
    peer_address "${peers[number]}"
}

# until_status CODE CURL_ARGS...: false when it does not come in time.
until_status() {
  local code="$1" turn
  shift
  for ((turn = 0; turn < READY_SECONDS * 10; ++turn)); do
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "$@")" = "$code" ] &&
      return 0
    sleep 0.1
  done
  return 1
}

# ---- configuration ----

templates_json() {
  jq -nc '{gold: {priority: 0, weight: 4, connection_share: 6, max_age_ms: 0},
           silver: {priority: 1, weight: 2, connection_share: 4, max_age_ms: 0},
           bronze: {priority: 2, weight: 1, connection_share: 2,
                    max_age_ms: 5000}}'
}

groups_json() {
  local number
  for ((number = 1; number <= GROUPS_PER_PROFILE; ++number)); do
    jq -nc --arg group "$group_prefix-$number" \
      --argjson slots "$SLOTS" --argjson limit "$connection_limit" \
      --argjson connect "$connect_ms" \
      '{($group): {databases: [$group + "-a", $group + "-b", $group + "-c"],
                   slots: $slots, connection_limit: $limit,
                   connection_reserve: 6, connect_ms: $connect,
                   queue_limit: 2000}}'
  done | jq -sc 'add'
}

# One workspace of each service in each group, with a key of its own. Writes
# the lines of stack.json to D/workspaces and prints the configuration's part.
workspaces_json() {
  local number i name key salt hash template
  for ((number = 1; number <= GROUPS_PER_PROFILE; ++number)); do
    for i in 0 1 2; do
      name="${services[i]}"
      [ "$number" -eq 1 ] || name="$name-$number"
      key=$(random_hex)
      salt=$(random_hex)
      hash=$(printf '%s%s' "$salt" "$key" | sha256sum | cut -d' ' -f1)
      template="${TEMPLATES[i]}"
      jq -nc --arg name "$name" --arg key "$key" \
        --arg group "$group_prefix-$number" --argjson priority "$i" \
        '{name: $name, key: $key, group: $group, priority: $priority}' \
        >>"$dir/workspaces"
      jq -nc --arg name "$name" --arg template "$template" \
        --arg group "$group_prefix-$number" --arg hash "$hash" \
        --arg salt "$salt" \
        '{($name): {template: $template, group: $group, key_hash: $hash,
                    key_salt: $salt, parameters: {}}}'
    done
  done | jq -sc 'add'
}

random_hex() {
  od -An -N16 -tx1 /dev/urandom | tr -d ' \n'
}

write_configuration() {
  local workspaces
  workspaces=$(workspaces_json)
  jq -n --argjson templates "$(templates_json)" \
    --argjson groups "$(groups_json)" --argjson workspaces "$workspaces" \
    '{templates: $templates, groups: $groups, workspaces: $workspaces}' \
    >"$dir/configuration.json"
}

publish() {
  local server="$1"
  "$build/ryefoldctl" publish --server "$server" --admin-key "$admin_key" \
    "$dir/configuration.json" >"$dir/publish.log" 2>&1 ||
    fail "the first configuration was not published" "$dir/publish.log"
}

# Waits until every instance serves every group: only then is the
# configuration in force there and the group's primary known.
wait_serving() {
  local address group key
  for address in "$@"; do
    while read -r group key; do
      until_status 200 "http://$address/v1/statement" \
        -H "Authorization: Bearer $key" \
        -d "$(probe "$group")" || fail "$address does not serve $group"
    done < <(jq -r 'select(.priority == 0) | "\(.group) \(.key)"' \
      "$dir/workspaces")
  done
}

probe() {
  local workspace
  workspace=$(jq -r --arg group "$1" \
    'select(.group == $group and .priority == 0) | .name' "$dir/workspaces")
  jq -nc --arg group "$1" --arg workspace "$workspace" \
    '{group: $group, workspace: $workspace, sql: "SELECT 1", params: [],
      kind: "read", deadline_ms: 1000}'
}

# ---- actions ----

started_here() {
  cat "$dir/started" 2>/dev/null || true
}

# A stack that did not come up whole leaves nothing behind.
give_up() {
  local pids
  mapfile -t pids < <(started_here)
  end_processes "${pids[@]}"
}

up() {
  local number addresses=()
  [ ! -e "$dir/stack.json" ] || fail "$dir/stack.json exists; run down first"
  mkdir -p "$dir"
  rm -f "$dir"/{started,processes,workspaces}
  touch "$dir"/{started,processes,workspaces}
  trap give_up EXIT
  admin_key=$(random_hex)
  (umask 077 && echo "$admin_key" >"$dir/admin_key")
  write_configuration
  start_platform
  for ((number = 1; number <= GROUPS_PER_PROFILE; ++number)); do
    start_group "$group_prefix-$number"
  done
  choose_addresses
  for ((number = 1; number <= instances; ++number)); do
    start_instance "$number"
  done
  mapfile -t addresses < <(jq -r 'select(.kind == "instance") | .address' \
    "$dir/processes")
  if [ "$instances" -gt 0 ]; then
    for number in "${!addresses[@]}"; do
      until_status 200 "http://${addresses[number]}/readyz" ||
        fail "instance-$((number + 1)) does not become ready" \
          "$dir/instance-$((number + 1)).log"
    done
    publish "${addresses[0]}"
    wait_serving "${addresses[@]}"
  fi
  jq -n --slurpfile processes "$dir/processes" \
    --slurpfile workspaces "$dir/workspaces" \
    '{processes: $processes, workspaces: $workspaces}' >"$dir/stack.json"
  trap - EXIT
  rm -f "$dir"/{started,processes,workspaces}
  echo "stack is up: $dir/stack.json"
}

down() {
  local kind pids
  [ -e "$dir/stack.json" ] || fail "no $dir/stack.json"
  for kind in instance database platform; do
    mapfile -t pids < <(jq -r --arg kind "$kind" \
      '.processes[] | select(.kind == $kind) | .pid' "$dir/stack.json")
    end_processes "${pids[@]}"
  done
  rm -f "$dir/stack.json"
}

case "$action" in
  up) up ;;
  down) down ;;
  *) usage ;;
esac
