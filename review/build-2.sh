#!/usr/bin/env bash
# Builds the scenarios of this review with their stand-ins (review/kit-2), into
# build-review-2 or the folder given. Needs a C++ compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out="${1:-build-review-2}"
mkdir -p "$out"
for source in review/[456]/scenario.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread "$source" -o "$out/case-$number"
done
g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread review/kept-2/hangup_at_start.cc \
  -o "$out/hangup_at_start"
