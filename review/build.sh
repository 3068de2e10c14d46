#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin, after the build of the deploy file. Needs only its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -j4 --target irismux irismux_testing
mkdir -p review/bin
libraries=(testing gateway fleet registry store net routing base)
archives=("${libraries[@]/#/build/libirismux_}")
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Iinclude -Isrc -I. -Ireview "$source" -o "review/bin/case$number" \
    "${archives[@]/%/.a}" -lPocoNet -lPocoFoundation -lspdlog -lfmt -lxxhash -llmdb -lpthread
done
