#!/usr/bin/env bash
# Runs clang-tidy over the source files, several at a time. Arguments, if
# any, name the files to look at; otherwise all are. A file that passed is not
# read again until it, a header of ours or the rules change: a stamp under the
# build folder remembers the hash of all three.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
stamps="$build/lint"
mkdir -p "$stamps"
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cc' 'platform/*.cc' 'testsuite/*.cc')
fi
headers=$( (git ls-files --cached --others --exclude-standard 'src/*.h' 'platform/*.h' 'testsuite/*.h' | xargs -r cat; cat .clang-tidy) | sha256sum | cut -d' ' -f1)
export build stamps headers
check() {
  local sum stamp
  sum=$( (echo "$headers"; echo "$1"; cat "$1") | sha256sum | cut -d' ' -f1)
  stamp="$stamps/$sum"
  [ -e "$stamp" ] && return 0
  clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$1" 2>/dev/null && touch "$stamp"
}
export -f check
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" bash -c 'check "$0"'
echo "lint: ${#files[@]} files clean"
