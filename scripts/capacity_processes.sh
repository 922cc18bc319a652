#!/usr/bin/env bash
# Figures of real processes for docs/CAPACITY.md: an idle instance, idle
# callers, processor time of a statement at entry and keeper, workspaces.
# Two instances before the stand-ins; the second one keeps what the first does
# not, so both roles are seen.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
seconds="${SECONDS_EACH:-5}"
callers="${CALLERS:-2640}"
workspaces="${WORKSPACES:-2000}"
dir=$(mktemp -d)
trap 'scripts/local_stack.sh down --dir "$dir" >/dev/null 2>&1 || true; rm -rf "$dir"' EXIT

scripts/local_stack.sh up --instances 2 --dir "$dir" >/dev/null
stack="$dir/stack.json"
workspace=$(jq -r '.workspaces[0].name' "$stack")
key=$(jq -r '.workspaces[0].key' "$stack")
group=$(jq -r '.workspaces[0].group' "$stack")
admin_key=$(cat "$dir/admin_key")
mapfile -t entries < <(jq -r '.processes[] | select(.kind=="instance") | .address' "$stack")
mapfile -t pids < <(jq -r '.processes[] | select(.kind=="instance") | .pid' "$stack")
hz=$(getconf CLK_TCK)

rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
# Bytes through sockets (and little else) so far, both ways.
bytes() { awk '/^[rw]char/ {sum += $2} END {print sum}' "/proc/$1/io"; }
# Processor time in ticks of the thread NAME.
ticks() {
  local task
  for task in /proc/"$1"/task/*; do
    if [ "$(cat "$task/comm")" = "$2" ]; then awk '{print $14 + $15}' "$task/stat"; fi
  done
}
kept() { curl -s "http://$1/metrics" | grep -c 'ryefold_keeper{figure="term"' || true; }

echo "idle instances, $seconds s"
for i in 0 1; do
  before_bytes[i]=$(bytes "${pids[$i]}")
  for thread in entry keeper control; do eval "before_${thread}[i]=$(ticks "${pids[$i]}" $thread)"; done
done
sleep "$seconds"
for i in 0 1; do
  spent=$((($(bytes "${pids[$i]}") - before_bytes[i]) / seconds))
  line=" groups kept $(kept "${entries[$i]}"): $spent B/s to and from databases, peers and platform, memory $(rss "${pids[$i]}") KB, processor"
  for thread in entry keeper control; do
    eval "start=\${before_${thread}[i]}"
    line="$line $thread $(awk -v t="$(($(ticks "${pids[$i]}" $thread) - start))" -v hz="$hz" -v s="$seconds" 'BEGIN {printf "%.2f%%", t / hz / s * 100}')"
  done
  echo "$line"
done

keeper=0
if curl -s "http://${entries[1]}/metrics" | grep -q "ryefold_keeper{.*group=\"$group\""; then keeper=1; fi
other=$((1 - keeper))
echo "reads through one entry to the keeper on the other instance"
entry_before=$(ticks "${pids[$other]}" entry)
keeper_before=$(ticks "${pids[$keeper]}" keeper)
result=$("$build/bench_load" --target "${entries[$other]}" --workspace "$workspace" --key "$key" --group "$group" --connections 32 --threads 4 --seconds "$seconds")
entry_ticks=$(($(ticks "${pids[$other]}" entry) - entry_before))
keeper_ticks=$(($(ticks "${pids[$keeper]}" keeper) - keeper_before))
echo " $result"
jq -r --argjson e "$entry_ticks" --argjson k "$keeper_ticks" --argjson hz "$hz" \
  '" processor time of a read: entry \($e / $hz * 1e6 / .done | round) us, keeper \($k / $hz * 1e6 / .done | round) us"' <<<"$result"
curl -s "http://${entries[$keeper]}/v1/statement" -H "Authorization: Bearer $key" \
  -d "{\"workspace\":\"$workspace\",\"kind\":\"write\",\"sql\":\"CREATE TABLE IF NOT EXISTS load (n INTEGER)\"}" >/dev/null
entry_before=$(ticks "${pids[$other]}" entry)
keeper_before=$(ticks "${pids[$keeper]}" keeper)
result=$("$build/bench_load" --target "${entries[$other]}" --workspace "$workspace" --key "$key" --group "$group" --write --sql "INSERT INTO load VALUES (1)" --connections 32 --threads 4 --seconds "$seconds")
entry_ticks=$(($(ticks "${pids[$other]}" entry) - entry_before))
keeper_ticks=$(($(ticks "${pids[$keeper]}" keeper) - keeper_before))
echo "writes, confirmed by a majority"
echo " $result"
jq -r --argjson e "$entry_ticks" --argjson k "$keeper_ticks" --argjson hz "$hz" \
  '" processor time of a write: entry \($e / $hz * 1e6 / .done | round) us, keeper \($k / $hz * 1e6 / .done | round) us"' <<<"$result"

echo "idle callers"
before=$(rss "${pids[$other]}")
"$build/bench_load" --target "${entries[$other]}" --idle "$callers" --seconds 3 >/dev/null &
holder=$!
sleep 2
after=$(rss "${pids[$other]}")
wait "$holder"
echo " $callers connections: $(((after - before) * 1024 / callers)) B each"

echo "workspaces"
before=$(rss "${pids[$other]}")
jq -n --argjson n "$workspaces" --arg group "$group" \
  '{workspaces: [range($n) | {key: "extra-\(.)", value: {template: "bronze", group: $group, key_hash: ("0" * 64), key_salt: "0123456789abcdef", parameters: {}}}] | from_entries}' >"$dir/extra.json"
"$build/ryefoldctl" publish --server "${entries[$other]}" --admin-key "$admin_key" "$dir/extra.json"
"$build/ryefoldctl" wait --server "${entries[$other]}" --admin-key "$admin_key"
sleep 1
after=$(rss "${pids[$other]}")
echo " $workspaces more: $(((after - before) * 1024 / workspaces)) B each, documents and catalogs of all tasks"
