#!/usr/bin/env bash
# Runs one case: run_case.sh PROGRAM RECORD. The program starts the daemons
# with the command of deploy/system.toml and ends them; they also end with it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
program="target/review/$1"
record="$2"
if [ ! -x "$program" ] || [ ! -x target/ryefoldd ]; then
  echo "build target/ryefoldd as the deploy file does, then run review/build.sh"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 118 "$program" "$record" "$folder"
code=$?
if grep -l "Aborted at\|terminate called" "$folder"/*.log >/dev/null 2>&1; then
  echo "a daemon has crashed"
fi
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
