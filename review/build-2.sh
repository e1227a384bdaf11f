#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: the project's stand-in of the platform's store, and the
# small programs of the cases. Run it after the build of deploy/system.toml, in the repository's root or anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS_RELEASE='-O1 -DNDEBUG' >/dev/null
cmake --build build/review-2 --target platform_stand_in
for play in review/*/play.cc; do
  number=$(basename "$(dirname "$play")")
  g++ -std=c++20 -O1 -pthread -I review/stand_ins_2 -o "build/review-2/bin/play_$number" "$play"
done
