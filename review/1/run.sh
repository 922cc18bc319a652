#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the case without the disruption.
exec "$(dirname "$0")/../run_case.sh" grey_primary "review/1/record.txt"
