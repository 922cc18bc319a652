# Helpers of the process tests; sourced. Each test gets a folder of its own,
# and everything that it started ends with it.

set -euo pipefail
export BUILD="${BUILD:-build}"
work=$(mktemp -d)
readonly work
stack="$work/stack"
checks=0

stop_all() {
  local code=$?
  local pids
  mapfile -t pids < <(jobs -p)
  [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  if [ -e "$stack/stack.json" ]; then
    scripts/local_stack.sh down --dir "$stack" >/dev/null || true
  fi
  if [ "$code" -ne 0 ]; then
    echo "FAILED; last lines of the logs:" >&2
    tail -n 5 "$stack"/*.log >&2 2>/dev/null || true
  fi
  rm -rf "$work"
  exit "$code"
}
trap stop_all EXIT
trap 'exit 143' TERM INT
# Writing to a connection that the other side closed is an answer, not an end.
trap : PIPE

up() {
  scripts/local_stack.sh up --dir "$stack" "$@" >"$work/up.log" 2>&1 ||
    { cat "$work/up.log" >&2; exit 1; }
  load_stack
}

# check WHAT ACTUAL EXPECTED
check() {
  checks=$((checks + 1))
  [ "$2" = "$3" ] && return 0
  echo "$1: got '$2', expected '$3'" >&2
  exit 1
}

# check_that WHAT COMMAND...: the command succeeds.
check_that() {
  local what="$1"
  shift
  checks=$((checks + 1))
  "$@" && return 0
  echo "$what: does not hold" >&2
  exit 1
}

# eventually WHAT COMMAND...: the command succeeds sooner or later. The bound
# only ends a run that would hang; no verdict rests on how long it took.
eventually() {
  local what="$1" turn
  shift
  checks=$((checks + 1))
  for ((turn = 0; turn < 600; ++turn)); do
    "$@" && return 0
    sleep 0.05
  done
  echo "$what: never came" >&2
  exit 1
}

passed() {
  echo "passed, $checks checks"
}

# Names of the stack's processes and workspaces, looked up once.
declare -A addresses pids keys
load_stack() {
  local name value
  while read -r name value; do addresses[$name]="$value"; done < <(
    jq -r '.processes[] | "\(.name) \(.address)"' "$stack/stack.json")
  while read -r name value; do pids[$name]="$value"; done < <(
    jq -r '.processes[] | "\(.name) \(.pid)"' "$stack/stack.json")
  while read -r name value; do keys[$name]="$value"; done < <(
    jq -r '.workspaces[] | "\(.name) \(.key)"' "$stack/stack.json")
}

# post NAME PATH BODY: prints the answer's body.
post() {
  curl -s -m 20 "${addresses[$1]}$2" -d "$3"
}
fault() {
  post "$1" /fault "$2" >/dev/null
}

# start_again INSTANCE: a new process in place of one that was killed.
start_again() {
  setsid "$BUILD/ryefoldd" --settings "$stack/$1.json" \
    >>"$stack/$1.log" 2>&1 </dev/null &
  pids[$1]=$!
  disown
  jq --arg name "$1" --argjson pid "${pids[$1]}" \
    '(.processes[] | select(.name == $name)).pid = $pid' \
    "$stack/stack.json" >"$work/stack.new"
  mv "$work/stack.new" "$stack/stack.json"
}

# ready INSTANCE
ready() {
  [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://${addresses[$1]}/readyz")" = 200 ]
}

# ---- operators ----

# admin INSTANCE PATH [BODY]: an operator's call; prints the body, then the
# status code on a line of its own.
admin() {
  curl -s -m 30 "http://${addresses[$1]}$2" \
    -H "Authorization: Bearer $(cat "$stack/admin_key")" \
    ${3:+-d "$3"} -w '\n%{http_code}\n' || echo
}

# ---- callers ----

# ask INSTANCE WORKSPACE FIELDS [PATH]: one request of a caller; prints the
# answer. FIELDS is a JSON object without the workspace.
ask() {
  curl -s -m 70 "http://${addresses[$1]}${4:-/v1/statement}" \
    -H "Authorization: Bearer ${keys[$2]}" \
    -d "{\"workspace\":\"$2\",${3#\{}"
}

# write_fields ID SQL: a write that must not run twice.
write_fields() {
  printf '{"kind":"write","request_id":"%s","sql":"%s"}' "$1" "$2"
}

# writer NAME INSTANCE WORKSPACE: inserts one row after another, each with an
# id of its own, until $work/stop appears. Each line of $work/written.NAME is
# "id outcome reason time"; outcome "none" stands for no whole answer.
writer() {
  local name="$1" id answer outcome reason n=0
  : >"$work/written.$name"
  while [ ! -e "$work/stop" ]; do
    n=$((n + 1))
    id="$name-$n"
    answer=$(ask "$2" "$3" \
      "$(write_fields "$id" "INSERT INTO orders VALUES ('$id')")") || answer=""
    outcome=none
    reason=none
    [[ "$answer" =~ \"outcome\":\"([a-z_]+)\" ]] && outcome="${BASH_REMATCH[1]}"
    [[ "$answer" =~ \"reason\":\"([a-z_]+)\" ]] && reason="${BASH_REMATCH[1]}"
    echo "$id $outcome $reason $EPOCHREALTIME" >>"$work/written.$name"
    # Told when to come back; a caller that does not wait proves nothing more.
    [ "$outcome" = done ] || sleep 0.05
  done
}

# ids OUTCOME FILE...: the ids that were given this outcome.
ids() {
  local outcome="$1"
  shift
  awk -v outcome="$outcome" '$2 == outcome {print $1}' "$@"
}

# logged DATABASE: ids of the writes in its log, fences left out.
logged() {
  post "$1" /debug/log '{}' | jq -r \
    '.entries[] | select(.kind == "statement" or .kind == "transaction")
     | .request_id'
}

log_of() {
  post "$1" /debug/log '{}' | jq -c .entries
}
same_log() {
  [ "$(log_of "$1")" = "$(log_of "$2")" ]
}

# ---- one statement connection by hand, kept open between calls ----

# connect NAME: opens a TCP connection; sets fd.
connect() {
  local at
  at="${addresses[$1]}"
  exec {fd}<>"/dev/tcp/${at%:*}/${at#*:}"
}

# call FD PATH BODY: sets code and body. Code 000 stands for no whole answer.
call() {
  local line length=0
  code=000
  body=""
  printf 'POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s' \
    "$2" "${#3}" "$3" >&"$1" 2>/dev/null || return 0
  IFS=' ' read -r -t 20 _ status _ <&"$1" || return 0
  while IFS= read -r -t 20 line <&"$1"; do
    line="${line%$'\r'}"
    [ -n "$line" ] || break
    case "$line" in Content-Length:*) length="${line#*: }" ;; esac
  done
  LC_ALL=C IFS= read -r -d '' -t 20 -n "$length" body <&"$1" || true
  [ "${#body}" -ne "$length" ] || code="$status"
}


# statement TERM KIND ID SQL: body of an execute call with a record.
statement() {
  jq -nc --argjson term "$1" --arg kind "$2" --arg id "$3" --arg sql "$4" \
    '{term: $term, step: "statement", kind: $kind, request_id: $id,
      workspace: "test", record: ($kind == "write"), sql: $sql, params: []}'
}
