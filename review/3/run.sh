#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run_case.sh" 3 "$TROUBLE"
