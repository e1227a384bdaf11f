#!/usr/bin/env bash
# Runs case N from the repository's root: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out, RECORD names the record. Called by review/N/run.sh.
set -u
number=$1
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/bin/camphord ] || [ ! -x "review/bin/case$number" ]; then
  echo "2: build first: the command of deploy/system.toml, then review/build.sh"
  exit 2
fi
timeout -k 2 115 "review/bin/case$number"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
