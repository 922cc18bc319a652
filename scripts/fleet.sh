# Functions for a small fleet on the platform's path: one stand-in for the
# platform with a database group, and gateways before it. Sourced; the caller
# sets `fleet` to a folder and ends everything with `fleet_down`.

fleet_pids=()
fleet_ports=" "

# A loopback address of this shell alone, so that its gateways share no port
# with those of other tests, not even while one of them is being started.
fleet_host="127.$((1 + $$ / 65536)).$(($$ / 256 % 256)).$(($$ % 256))"

# fleet_test: a folder for the fleet of a test, ended and removed when the test
# exits; a failed one shows the ends of the logs.
fleet_test() {
  fleet=$(mktemp -d)
  trap fleet_finish EXIT
}
fleet_finish() {
  local code=$?
  [ "$code" -eq 0 ] || {
    grep -H '_address"' "$fleet"/gateway-*.json >&2 || true
    tail -n 5 "$fleet"/*.log >&2 || true
  }
  fleet_down
  rm -rf "$fleet"
  exit "$code"
}
fail() {
  echo "$1" >&2
  exit 1
}

# fleet_up N: starts the stand-in and N gateways.
fleet_up() {
  local build="${BUILD:-build}" n turn
  mkdir -p "$fleet"
  "$build/standin_fleet" >"$fleet/standin.json" 2>"$fleet/standin.log" &
  fleet_pids+=("$!")
  for ((turn = 0; turn < 100; ++turn)); do
    [ -s "$fleet/standin.json" ] && break
    sleep 0.05
  done
  fleet_store=$(jq -r .store "$fleet/standin.json")
  fleet_control=$(jq -r .control "$fleet/standin.json")
  for ((n = 1; n <= $1; ++n)); do
    fleet_start "$n"
  done
}

# fleet_free_port NAME: sets the variable NAME to a port of fleet_host that no
# gateway of this fleet was given before. The kernel hands ports from 32768 on
# to outgoing connections, and one of those could take a port between this look
# and the gateway's start.
fleet_free_port() {
  local port
  while :; do
    port=$((30000 + RANDOM % 2768))
    [[ "$fleet_ports" == *" $port "* ]] && continue
    (exec 9<>"/dev/tcp/$fleet_host/$port") 2>/dev/null || break
  done
  fleet_ports+="$port "
  printf -v "$1" '%s' "$port"
}

# fleet_start N: starts gateway N, logging to $fleet/gateway-N.log.
fleet_start() {
  local build="${BUILD:-build}" turn
  local sessions ready peers
  fleet_free_port sessions
  fleet_free_port ready
  fleet_free_port peers
  printf '%s\n' "$sessions" >"$fleet/gateway-$1.port"
  printf '%s\n' "$ready" >"$fleet/gateway-$1.ready"
  cat >"$fleet/gateway-$1.json" <<SETTINGS
// a gateway of the local fleet
{
  "name": "gateway-$1", "failure_domain": "a",
  "session_address": "$fleet_host:$sessions",
  "ready_address": "$fleet_host:$ready",
  "peer_address": "$fleet_host:$peers",
  "store_address": "$fleet_store", "promotion_address": "$fleet_control"
}
SETTINGS
  "$build/ryefoldd" --sessions --settings "$fleet/gateway-$1.json" \
    >>"$fleet/gateway-$1.log" 2>&1 &
  fleet_pids+=("$!")
  for ((turn = 0; turn < 200; ++turn)); do
    curl -s -f -m 1 "http://$fleet_host:$ready/ready" >/dev/null && return 0
    sleep 0.05
  done
  echo "gateway-$1 is not ready" >&2
  return 1
}

fleet_down() {
  [ "${#fleet_pids[@]}" -eq 0 ] || kill -KILL "${fleet_pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}

# fleet_fault PATH BODY: orders a fault from the stand-in.
fleet_fault() {
  curl -s -m 2 "http://$fleet_control$1" -d "$2" >/dev/null
}

# open_session N ROUTE: a session at gateway N on descriptor 5.
open_session() {
  local line
  exec 5<>"/dev/tcp/$fleet_host/$(cat "$fleet/gateway-$1.port")"
  printf 'START %s local\r\n' "$2" >&5
  IFS= read -r -t 5 line <&5
  [[ "$line" == READY* ]]
}

# ask ID TEXT: one statement on the open session; prints what concludes it.
ask() {
  local line concluded=""
  printf 'QUERY %s %s\r\n' "$1" "$2" >&5
  while IFS= read -r -t 6 line <&5; do
    line="${line%$'\r'}"
    case "$line" in
      READY*) break ;;
      ROW*) ;;
      *) concluded="$line" ;;
    esac
  done
  echo "$concluded"
}
