#!/usr/bin/env bash
# The primary is lost while callers write through every instance: killed,
# frozen, or cut off from its peers while it still accepts connections. What
# callers were told is held against the logs of the databases.
cd "$(dirname "$0")/../.."
. testsuite/standins/process.sh

readonly AFTER_LOSS=15  # writes each writer gets done after the loss
readonly LAG_MS=80      # so that the primary always has entries to lose

primary_of() {
  local one
  for one in a b c; do
    [ "$(post "$1-$one" /v1/status '{}' | jq -r .role)" != primary ] || echo "$1-$one"
  done
}
done_count() { ids done "$work"/written.* | wc -l; }
each_done() { # COUNT: every writer has got that many done
  local file
  for file in "$work"/written.*; do
    [ "$(ids done "$file" | wc -l)" -ge "$1" ] || return 1
  done
}

# Longest time between two writes that succeeded, over all writers.
gap() {
  awk '$2 == "done" {print $4}' "$work"/written.* | sort -n |
    awk 'NR > 1 && $1 - last > gap {gap = $1 - last} {last = $1}
         END {printf "%.2f s", gap}'
}

# survivors DATABASE...: judges what was told against these databases' logs.
judge() {
  local what="$1" database
  shift
  ids done "$work"/written.* | sort >"$work/done"
  ids not_run "$work"/written.* | sort >"$work/not_run"
  check_that "$what: writes were done" test -s "$work/done"
  check "$what: requests without a whole answer" "$(ids none "$work"/written.* | wc -l)" 0
  for database in "$@"; do
    logged "$database" | sort >"$work/logged"
    check "$what: doubled in $database" "$(grep . "$work/logged" | uniq -d | wc -l)" 0
    check "$what: acknowledged but lost in $database" \
      "$(comm -23 "$work/done" "$work/logged" | wc -l)" 0
    check "$what: not run but present in $database" \
      "$(comm -12 "$work/not_run" "$work/logged" | wc -l)" 0
  done
}

# A caller that was told "unknown" sends the same request again.
repeat_unknown() {
  local what="$1" workspace="$2" id answer
  for id in $(ids unknown "$work"/written.*); do
    answer=$(ask instance-2 "$workspace" \
      "$(write_fields "$id" "INSERT INTO orders VALUES ('$id')")")
    echo "$id $(jq -r .outcome <<<"$answer")" >>"$work/repeated"
  done
  ids done "$work/repeated" 2>/dev/null | sort >"$work/repeated.done" || true
}

# lose WHAT GROUP WORKSPACE LOSS: runs writers through the loss of the primary.
lose() {
  local what="$1" group="$2" workspace="$3" loss="$4" n before
  rm -f "$work"/{stop,written.*,repeated}
  before=$(primary_of "$group")
  check "$what: created" "$(ask instance-1 "$workspace" \
    "$(write_fields "$what-create" 'CREATE TABLE orders (id TEXT)')" | jq -r .outcome)" done
  for n in a b c; do fault "$group-$n" "{\"lag_ms\":$LAG_MS}"; done
  for n in 1 2 3 4 5 6; do
    writer "$what-$n" "instance-$((n % 3 + 1))" "$workspace" &
  done
  sleep 0.1
  eventually "$what: writes run" each_done 10
  $loss "$before"
  before_loss=$(for n in "$work"/written.*; do ids done "$n" | wc -l; done | sort -n | tail -1)
  eventually "$what: writes run again" each_done $((before_loss + AFTER_LOSS))
  touch "$work/stop"
  wait
  repeat_unknown "$what" "$workspace"
  echo "$what: $(done_count) done, $(ids not_run "$work"/written.* | wc -l) not run," \
    "$(ids unknown "$work"/written.* | wc -l) unknown, longest gap $(gap)"
  lost="$before"
}

kill_it() { kill -KILL "${pids[$1]}"; }
freeze() { kill -STOP "${pids[$1]}"; }
cut_off() { fault "$1" '{"cut":true}'; }
others() { for one in a b c; do [ "$1-$one" = "$2" ] || echo "$1-$one"; done; }
repeats_hold() {
  local database
  for database in "$@"; do
    logged "$database" | sort >"$work/logged"
    check "repeats that were done are in $database" \
      "$(comm -23 "$work/repeated.done" "$work/logged" | wc -l)" 0
  done
}

up --instances 3

lose killed passport-1 tamworth-gates kill_it
mapfile -t left < <(others passport-1 "$lost")
eventually "killed: survivors level" same_log "${left[@]}"
judge killed "${left[@]}"
repeats_hold "${left[@]}"

# Frozen for long, the old primary wakes with statements in hand and must not
# bring anything back or keep what a promotion discarded.
lose frozen passport-2 tamworth-gates-2 freeze
kill -CONT "${pids[$lost]}"
mapfile -t left < <(others passport-2 "$lost")
eventually "frozen: survivors level" same_log "${left[@]}"
eventually "frozen: the woken one follows" same_log "${left[0]}" "$lost"
judge frozen "${left[@]}" "$lost"
repeats_hold "${left[@]}" "$lost"

# Whoever believed the old primary would find its writes nowhere else, so the
# survivors are judged before it comes back.
lose cut passport-3 tamworth-gates-3 cut_off
mapfile -t left < <(others passport-3 "$lost")
eventually "cut: survivors level" same_log "${left[@]}"
judge "cut, before it heals" "${left[@]}"
fault "$lost" '{"cut":false}'
eventually "cut: the old primary follows" same_log "${left[0]}" "$lost"
judge cut "${left[@]}" "$lost"
repeats_hold "${left[@]}" "$lost"
passed
