#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: the project's stand-in of the platform's store, with the
# libraries of the build of deploy/system.toml (run that first), and the small programs of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2/bin
mkdir -p "$out"
g++ -std=c++20 -O1 -pthread -I . -o "$out/platform_stand_in" stand_ins/platform_main.cc stand_ins/command_line.cc \
  stand_ins/platform/*.cc stand_ins/http/*.cc \
  target/platform/libcamphor_platform.a target/store/libcamphor_store.a target/core/libcamphor_core.a \
  -lboost_json -lboost_container -lboost_url -lfmt -lcrypto -lxxhash -lpopt
for play in review/*/play.cpp; do
  number=$(basename "$(dirname "$play")")
  [ "$number" -ge 6 ] || continue
  g++ -std=c++20 -O1 -pthread -I review/stand_ins_2 -o "$out/play_$number" "$play"
done
