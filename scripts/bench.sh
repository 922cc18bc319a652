#!/usr/bin/env bash
# Runs every benchmark and prints its table: first those in virtual time, then
# Google Benchmark's, then real processes against direct access in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
for name in failover replica_share admission control wire idle; do
  if [ -x "$build/bench_$name" ]; then
    echo "== bench_$name"
    "$build/bench_$name"
  fi
done
echo "== added latency and throughput (scripts/bench_path.sh)"
scripts/bench_path.sh
