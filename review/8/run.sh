#!/usr/bin/env bash
# Plays the case of this folder: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The deploy file's build and review/build-2.sh have to be run before.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
play="$root/build/review-2/play-$(basename "$folder")"
if ! [ -x "$play" ] || ! [ -x "$root/build/irismux" ]; then
  echo "run the deploy file's build and review/build-2.sh first"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
# Ends what is left of the processes that this run has started: each has the temporary folder in its environment.
end() {
  local environment process
  for environment in /proc/[0-9]*/environ; do
    if tr '\0' '\n' 2>/dev/null <"$environment" | grep -qxF "CASE_FOLDER=$temporary"; then
      process=${environment%/environ}
      kill -KILL "${process#/proc/}"
    fi
  done 2>/dev/null
  rm -rf "$temporary"
}
trap 'end; exit 2' INT TERM
CASE_FOLDER="$temporary" timeout -s KILL 115 "$play" "$root" "$folder" "$temporary" &
wait $!
code=$?
end
[ "$code" -le 1 ] || code=2
exit "$code"
