#!/usr/bin/env bash
# Fails, with a diff per file, when a source file is not formatted.
# `--fix` rewrites the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cc' 'platform/*.h' 'platform/*.cc' 'testsuite/*.h' 'testsuite/*.cc')
if [ "${1:-}" = "--fix" ]; then
  printf '%s\0' "${files[@]}" | xargs -0 -n 16 -P "$(nproc)" clang-format -i
else
  printf '%s\0' "${files[@]}" | xargs -0 -n 16 -P "$(nproc)" clang-format --dry-run --Werror
fi
