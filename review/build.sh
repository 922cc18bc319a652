#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs the packages of
# deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -I/usr/include/jsoncpp "$source" \
    -o "target/review/$(basename "$source" .cc)" -ljsoncpp
done
