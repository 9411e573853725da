#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$case/Script.cpp" ]; then
    ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -I review/6 "$case/Script.cpp" \
      -o "target/review-2/case$(basename "$case")"
  fi
done
