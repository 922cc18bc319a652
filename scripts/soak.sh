#!/usr/bin/env bash
# Runs the random tests with a fresh seed and many more cases. Prints the
# seed first, so that a failing run can be repeated:
#   RC_PARAMS="seed=N max_success=M" build/testsuite/test_NAME
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
seed="${SEED:-$(date +%s)}"
cases="${CASES:-3000}"
export RC_PARAMS="seed=$seed max_success=$cases"
echo "RC_PARAMS=\"$RC_PARAMS\""
failed=0
for test in $(grep -l 'RC_GTEST' testsuite/*/*.cc | xargs -n 1 dirname | sort -u | xargs -n 1 basename); do
  echo "== $test"
  "$build/testsuite/test_$test" --gtest_brief=1 || { echo "FAILED: $test with $RC_PARAMS"; failed=1; }
done
# Real daemons with faults from outside, a few fresh seeds.
for ((n = 0; n < ${SOAKS:-6}; ++n)); do
  folder=$(mktemp -d)
  kinds=("" --databases-go-on --routes-change)
  kind="${kinds[n % 3]}"
  "$build/soak_sessions" --program "$build/ryefoldd" --folder "$folder" \
    --seed "$((seed + n))" --seconds "${SECONDS_EACH:-15}" ${kind:+"$kind"} ||
    { echo "FAILED: soak_sessions --seed $((seed + n)) $kind, logs in $folder"; failed=1; continue; }
  rm -rf "$folder"
done
exit "$failed"
