#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. Writes record.txt beside this file.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE=${TROUBLE:-1}
exec "$folder/../standins-2/run-case.sh" crashpart "$folder/record.txt"
