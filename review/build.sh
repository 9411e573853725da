#!/bin/bash
# Builds the stand-ins of all scripts, one program for each case, into target/review/. The cases
# share the stand-ins of review/1/Rig.h.
# Needs the packages that deploy/system.toml names (g++, nlohmann-json3-dev).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -f target/review/case-*
for source in review/[0-9]*/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review/1 "$source" -o "target/review/case-$number" &
done
wait
for source in review/[0-9]*/Case.cpp; do
  test -x "target/review/case-$(basename "$(dirname "$source")")"
done
