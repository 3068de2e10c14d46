#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/bin/case$(basename "$folder")
[ -x "$program" ] && [ -x "$root/build/irismux" ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
timeout -k 2 115 "$program" "$root" "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
