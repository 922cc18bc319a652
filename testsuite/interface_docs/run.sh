#!/usr/bin/env bash
# Runs every `sh` block of docs/INTERFACE.md, in order, against a local stack
# of two instances, and checks that each answer is "done", so that the page
# cannot drift away from what the daemon does.
set -euo pipefail
cd "$(dirname "$0")/../.."
TMP=$(mktemp -d)
trap 'scripts/local_stack.sh down --dir "$TMP/stack" >/dev/null 2>&1 || true; rm -rf "$TMP"' EXIT
scripts/local_stack.sh up --instances 2 --dir "$TMP/stack" >/dev/null

stack="$TMP/stack/stack.json"
mapfile -t entries < <(jq -r '.processes[] | select(.kind=="instance") | .address' "$stack")
export TMP
export ENTRY="${entries[0]}" OTHER="${entries[1]}"
export WORKSPACE KEY GROUP
WORKSPACE=$(jq -r '.workspaces[0].name' "$stack")
KEY=$(jq -r '.workspaces[0].key' "$stack")
GROUP=$(jq -r '.workspaces[0].group' "$stack")

# One script of all blocks: later ones use variables of earlier ones. Each
# curl prints one answer; `echo` keeps them on lines of their own.
awk '/^```sh$/ {inside=1; next} /^```$/ {if (inside) print "echo"; inside=0} inside' \
  docs/INTERFACE.md >"$TMP/blocks.sh"
[ -s "$TMP/blocks.sh" ] || { echo "no blocks found"; exit 1; }
bash -euo pipefail "$TMP/blocks.sh" >"$TMP/answers" || { cat "$TMP/answers"; exit 1; }
# Answers may stand on one line where a block makes several calls.
sed 's/}{"/}\n{"/g' "$TMP/answers" | grep -v '^$' >"$TMP/lines"
total=$(wc -l <"$TMP/lines")
done_count=$(jq -r 'select(.outcome=="done") | .outcome' "$TMP/lines" | wc -l)
echo "answers: $total, done: $done_count"
if [ "$total" -lt 5 ] || [ "$total" -ne "$done_count" ]; then
  cat "$TMP/lines"
  exit 1
fi
# The read through the other instance shows the write.
jq -s -e 'any(.[]; .rows == [["A. Mason","2029-01-31"]])' "$TMP/lines" >/dev/null || {
  echo "the other instance did not show the write"
  cat "$TMP/lines"
  exit 1
}
