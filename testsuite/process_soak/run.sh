#!/usr/bin/env bash
# Runs the soak for fixed seeds and seeds of past failures.
set -euo pipefail
exec "$(dirname "$0")/../soak/run_seeds.sh" usual databases-go-on
