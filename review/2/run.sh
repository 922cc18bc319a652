#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the case without the disruption.
exec "$(dirname "$0")/../run_case.sh" rolling_restart "review/2/record.txt"
