#!/usr/bin/env bash
# Runs one case: run_case.sh NUMBER TROUBLE. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE: 0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.." || exit 2
case_program="build-review/case_$1"
# The command of the role in the deploy file; it is started in the repository's root.
daemon=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -x "$case_program" ] || [ ! -x "$daemon" ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout -k 2 115 "$case_program" "$daemon" "$directory" "review/$1/record.txt" "$2"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
