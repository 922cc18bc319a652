#!/usr/bin/env bash
# What one caller costs an instance. An instance has 2,640 callers at the
# target size; were an idle connection to cost more than 8 KB, or a statement
# many times what the database itself spends on it, the small machines would
# not carry them. Bounds are on bytes, counts and a ratio within this run.
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${BUILD:-build}"
dir=$(mktemp -d)
trap 'scripts/local_stack.sh down --dir "$dir" >/dev/null 2>&1 || true; rm -rf "$dir"' EXIT
scripts/local_stack.sh up --instances 1 --dir "$dir" >/dev/null

readonly IDLE=2000 MOST_BYTES=8192 MOST_RATIO=12 SECONDS_EACH=3
stack="$dir/stack.json"
workspace=$(jq -r '.workspaces[0].name' "$stack")
key=$(jq -r '.workspaces[0].key' "$stack")
group=$(jq -r '.workspaces[0].group' "$stack")
entry=$(jq -r '[.processes[] | select(.kind=="instance")][0].address' "$stack")
entry_pid=$(jq -r '[.processes[] | select(.kind=="instance")][0].pid' "$stack")
database=$(jq -r --arg g "$group" '[.processes[] | select(.group==$g)][1].address' "$stack")
database_pid=$(jq -r --arg g "$group" '[.processes[] | select(.group==$g)][1].pid' "$stack")

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
failures=0
expect() {
  echo "$1: $2 (at most $3)"
  if awk -v a="$2" -v b="$3" 'BEGIN {exit !(a > b)}'; then
    echo "FAILED $1"
    failures=$((failures + 1))
  fi
}

before=$(ticks "$database_pid")
direct=$("$build/bench_load" --direct "$database" --connections 8 --threads 2 --seconds "$SECONDS_EACH")
database_ticks=$(($(ticks "$database_pid") - before))
before=$(ticks "$entry_pid")
through=$("$build/bench_load" --target "$entry" --workspace "$workspace" --key "$key" --group "$group" --connections 8 --threads 2 --seconds "$SECONDS_EACH")
entry_ticks=$(($(ticks "$entry_pid") - before))
echo "direct $direct"
echo "through $through"
expect "reads without a result, of $(jq .done <<<"$through")" "$(jq '.not_run + .unknown + .other' <<<"$through")" 0
expect "processor time of a read against the database's own" \
  "$(jq -n --argjson d "$direct" --argjson t "$through" --argjson a "$database_ticks" --argjson b "$entry_ticks" \
    '($b / $t.done) / ($a / $d.done) * 100 | round / 100')" "$MOST_RATIO"

before=$(rss "$entry_pid")
"$build/bench_load" --target "$entry" --idle "$IDLE" --seconds 3 >"$dir/idle" &
holder=$!
for _ in $(seq 100); do
  grep -q holding "$dir/idle" && break
  sleep 0.05
done
sleep 1
after=$(rss "$entry_pid")
wait "$holder"
expect "bytes of an idle caller connection" "$(((after - before) * 1024 / IDLE))" "$MOST_BYTES"
[ "$failures" -eq 0 ]
