#!/usr/bin/env bash
# run-case.sh PROGRAM RECORD: runs a case of this review. Exit status: 0 the rule held, 1 it was broken, 2 the case could
# not run. The record goes to the file RECORD. TROUBLE=0 leaves the disruption out.
set -u
record=$2
cd "$(dirname "$0")/../.." || exit 2
driver=build/review-2/$1
# The command of the deploy file.
program=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml)
if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
    echo "build first: the line build of deploy/system.toml, then review/build-2.sh"
    exit 2
fi
if ! ulimit -n 8192 2>/dev/null; then
    echo "8192 open files are needed"
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
CASE_FOLDER=$folder CASE_PROGRAM=$PWD/$program timeout --signal=KILL 115 "$driver" "$record"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
