#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the deploy file's build: the project's own stand-ins and
# the small ones of this review, into build/review-2. Needs nothing that the deploy file's build does not need.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
cmake --build build -j4 --target irismux_testing
flags=(-std=c++20 -O1 -g -Wall -Wextra -Iinclude -Isrc -I. -Ireview/stand-ins-2)
libs=()
for name in testing gateway fleet store registry net base routing; do libs+=("build/libirismux_$name.a"); done
g++ "${flags[@]}" review/stand-ins-2/registry.cpp -o "$out/registry" -Wl,--start-group "${libs[@]}" -Wl,--end-group \
  -lPocoNet -lPocoFoundation -lspdlog -lfmt -llmdb -lxxhash -lpthread
for play in review/*/play.cpp; do
  number=$(basename "$(dirname "$play")")
  g++ "${flags[@]}" "$play" -o "$out/play-$number" -lpthread
done
