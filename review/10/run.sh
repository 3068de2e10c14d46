#!/usr/bin/env bash
# Plays the case of this folder: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. review/build-2.sh has to be run before.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
play="$root/build/review-2/play-$(basename "$folder")"
[ -x "$play" ] && [ -x "$root/build/irismux" ] || { echo "run the deploy file's build and review/build-2.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
"$play" "$root" "$folder" "$temporary" &
player=$!
# A gateway or a stand-in outlives its player only if the player is killed: each has the folder in its environment.
end() {
  kill -KILL "$player" 2>/dev/null
  for environment in /proc/[0-9]*/environ; do
    if tr '\0' '\n' <"$environment" 2>/dev/null | grep -qxF "CASE_FOLDER=$temporary"; then
      process=${environment%/environ}
      kill -KILL "${process#/proc/}" 2>/dev/null
    fi
  done
  rm -rf "$temporary"
}
trap 'end; exit 2' INT TERM
( sleep 115; kill -KILL "$player" 2>/dev/null ) &
watchdog=$!
wait "$player"
code=$?
kill "$watchdog" 2>/dev/null
end 2>/dev/null
[ "$code" -le 1 ] || code=2
exit "$code"
