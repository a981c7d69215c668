#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 below target/review-3, with the
# compiler of the deploy file and no further library. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for case in tag_clash; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread \
    review/standins-3/lab.cpp "review/standins-3/$case.cpp" -o "$out/$case"
done
