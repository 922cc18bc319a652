#!/usr/bin/env bash
# Prints the figures behind docs/CAPACITY.md. INSTANCES chooses the sizes of
# the fleet; the largest takes some minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
echo "== control by number of instances (bench_control)"
"$build/bench_control" --instances "${INSTANCES:-8,32,128,512,1100}"
echo "== memory and messages with documents in force (bench_control)"
"$build/bench_control" --instances 8 --documents 0
"$build/bench_control" --instances 8 --documents 5000
"$build/bench_control" --instances 8 --documents 20000
echo "== one instance on the platform's path by size of the fleet (bench_growth)"
"$build/bench_growth"
echo "== failover in virtual time (bench_failover)"
"$build/bench_failover" --trials 40
echo "== memory of connections between instances (bench_idle)"
"$build/bench_idle" 2>/dev/null
echo "== real processes (scripts/capacity_processes.sh, scripts/bench_path.sh)"
scripts/capacity_processes.sh
scripts/bench_path.sh
