#!/usr/bin/env bash
# Builds the stand-ins of cases 6 and 9 below target/review-2/. They need the
# C++ compiler and the C library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in overlapping_losses lost_at_first_start; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$program" \
    "review/standins-2/$program.cpp" review/standins-2/fleet.cpp
done
