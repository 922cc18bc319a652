#!/usr/bin/env bash
# An instance is told to leave while requests are in progress on it and others
# arrive everywhere. Callers come through a balancer, which asks /readyz.
cd "$(dirname "$0")/../.."
. testsuite/standins/process.sh

# The slow statements have a group of their own, so that none of them has to
# wait for a slot.
readonly W=tamworth-gates GROUP=passport-1 LEAVING=instance-2
readonly CALLERS_W=tamworth-gates-2 CALLERS_GROUP=passport-2
readonly COULD_NOT_CONNECT=7  # curl's exit code
readonly MORE=15  # requests each caller gets done after the leave began

up --instances 3
for one in $W $CALLERS_W; do
  check "create" "$(ask instance-1 $one "$(write_fields create 'CREATE TABLE orders (id TEXT)')" | jq -r .outcome)" done
done

# caller NAME INSTANCE WORKSPACE: as `writer`, but a request goes to the
# instance only while it is ready, else to another, and one that could not
# connect goes there too: no instance has taken it.
caller() {
  local name="$1" id answer outcome reason instance status n=0
  : >"$work/written.$name"
  while [ ! -e "$work/stop" ]; do
    n=$((n + 1))
    id="$name-$n"
    instance="$2"
    ready "$instance" || instance=instance-1
    status=0
    answer=$(ask "$instance" "$3" "$(write_fields "$id" "INSERT INTO orders VALUES ('$id')")") || status=$?
    if [ "$status" -eq "$COULD_NOT_CONNECT" ]; then
      instance=instance-1
      answer=$(ask "$instance" "$3" "$(write_fields "$id" "INSERT INTO orders VALUES ('$id')")") || answer=""
    fi
    outcome=none
    reason=none
    [[ "$answer" =~ \"outcome\":\"([a-z_]+)\" ]] && outcome="${BASH_REMATCH[1]}"
    [[ "$answer" =~ \"reason\":\"([a-z_]+)\" ]] && reason="${BASH_REMATCH[1]}"
    echo "$id $outcome $reason $instance" >>"$work/written.$name"
  done
}
each_done() {
  local file
  for file in "$work"/written.*; do
    [ "$(ids done "$file" | wc -l)" -ge "$1" ] || return 1
  done
}

for n in 1 2 3; do
  caller "caller-$n" "instance-$n" $CALLERS_W &
done
sleep 0.1
eventually "requests run" each_done 5

# Statements that outlast the pauses of an orderly end are in progress on the
# leaving instance when it is told.
for one in a b c; do fault "$GROUP-$one" '{"stall_ms":900}'; done
for n in 1 2 3; do
  ask $LEAVING $W "{\"kind\":\"write\",\"request_id\":\"slow-$n\",\"deadline_ms\":20000,
    \"sql\":\"INSERT INTO orders VALUES ('slow-$n')\"}" >"$work/slow.$n" &
  slow[n]=$!
done
one_arrived() {
  post $GROUP-a /debug/running '{}' |
    jq -e 'any(.calls[]; .request_id | startswith("slow-"))' >/dev/null
}
eventually "a slow statement is running" one_arrived
kill -TERM "${pids[$LEAVING]}"
for n in 1 2 3; do
  wait "${slow[n]}" || true
  check "slow-$n" "$(jq -r .outcome "$work/slow.$n")" done
done

before=$(for n in "$work"/written.*; do ids done "$n" | wc -l; done | sort -n | tail -1)
eventually "requests go on" each_done $((before + MORE))
gone() {
  case "$(awk '{print $3}' "/proc/${pids[$LEAVING]}/stat" 2>/dev/null)" in
    "" | Z) return 0 ;;
  esac
  return 1
}
eventually "the instance ends by itself" gone
check "its log tells an orderly end" "$(grep -c 'event=drain_end entry_in_progress=0' "$stack/$LEAVING.log")" 1
touch "$work/stop"
wait

echo "$(ids done "$work"/written.* | wc -l) done, $(ids not_run "$work"/written.* | wc -l) not run"
check "requests cut off" "$(ids none "$work"/written.* | wc -l)" 0
check "requests of unknown outcome" "$(ids unknown "$work"/written.* | wc -l)" 0
ids done "$work"/written.* | sort >"$work/done"
logged $CALLERS_GROUP-a | sort >"$work/logged"
check "done but not in the log" "$(comm -23 "$work/done" "$work/logged" | wc -l)" 0
check "doubled" "$(grep . "$work/logged" | uniq -d | wc -l)" 0
passed
