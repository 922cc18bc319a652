#!/usr/bin/env bash
# Runs the soak while routes lead to another group and back: a session must not
# miss its own commits.
set -euo pipefail
exec "$(dirname "$0")/../soak/run_seeds.sh" routes-change
