#!/usr/bin/env bash
# Added latency, statements a second and memory for idle callers, measured on
# real processes in one run: direct access to the database stand-in, then the
# same statement through entry and keeper of one instance, then through two.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
seconds="${SECONDS_EACH:-4}"
idle="${IDLE:-4000}"
dir=$(mktemp -d)
trap 'scripts/local_stack.sh down --dir "$dir" >/dev/null 2>&1 || true; rm -rf "$dir"' EXIT

scripts/local_stack.sh up --instances 2 --dir "$dir" >/dev/null
stack="$dir/stack.json"
workspace=$(jq -r '.workspaces[0].name' "$stack")
key=$(jq -r '.workspaces[0].key' "$stack")
group=$(jq -r '.workspaces[0].group' "$stack")
replica=$(jq -r --arg g "$group" '[.processes[] | select(.kind=="database" and .group==$g)][1].address' "$stack")
mapfile -t entries < <(jq -r '.processes[] | select(.kind=="instance") | .address' "$stack")
mapfile -t pids < <(jq -r '.processes[] | select(.kind=="instance") | .pid' "$stack")

via() { "$build/bench_load" --target "$1" --workspace "$workspace" --key "$key" --group "$group" "${@:2}"; }
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# Which of the two keeps the group: the other one forwards.
keeper=0
for i in 0 1; do
  if curl -s "http://${entries[$i]}/metrics" | grep -q "ryefold_keeper{.*group=\"$group\""; then keeper=$i; fi
done
other=$((1 - keeper))

echo "one connection, median added latency"
echo " direct        $("$build/bench_load" --direct "$replica" --connections 1 --seconds "$seconds")"
echo " same instance $(via "${entries[$keeper]}" --connections 1 --seconds "$seconds")"
echo " two instances $(via "${entries[$other]}" --connections 1 --seconds "$seconds")"
echo "many connections"
echo " direct        $("$build/bench_load" --direct "$replica" --connections 9 --threads 3 --seconds "$seconds")"
before=$(cpu "${pids[$keeper]}")
result=$(via "${entries[$keeper]}" --connections 64 --threads 4 --seconds "$seconds")
after=$(cpu "${pids[$keeper]}")
echo " same instance $result"
echo "$result" | jq -r --argjson ticks "$((after - before))" --argjson hz "$(getconf CLK_TCK)" \
  '" processor time per statement, entry and keeper: \($ticks / $hz * 1e6 / .done | . * 10 | round / 10) us"'
echo " two instances $(via "${entries[$other]}" --connections 64 --threads 4 --seconds "$seconds")"
echo "idle caller connections"
before=$(rss "${pids[$other]}")
"$build/bench_load" --target "${entries[$other]}" --idle "$idle" --seconds 3 >/dev/null &
holder=$!
sleep 2
after=$(rss "${pids[$other]}")
wait "$holder"
echo " $idle connections: $(((after - before) * 1024 / idle)) bytes each in the process"
