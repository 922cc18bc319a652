#!/usr/bin/env bash
# Runs the soak for the seeds of these groups in testsuite/soak/SEEDS: fixed
# seeds and seeds of past failures. Logs of failed runs are kept under
# soak_failed/ in the build folder. run_seeds.sh GROUP...
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${BUILD:-build}"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0
while read -r seed seconds group _; do
  case " $* " in *" $group "*) ;; *) continue ;; esac
  options=()
  [ "$group" = usual ] || options=("--$group")
  mkdir -p "$folder/$seed"
  "$build/soak_sessions" --program "$build/ryefoldd" --folder "$folder/$seed" \
    --seed "$seed" --seconds "$seconds" "${options[@]}" && continue
  failed=1
  # Keeps the logs, because a failure may not be reproducible.
  mkdir -p "$build/soak_failed"
  cp -r "$folder/$seed" "$build/soak_failed/$seed-$(date +%H%M%S)"
done < <(grep -v '^#' testsuite/soak/SEEDS)
exit "$failed"
