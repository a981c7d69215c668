#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts below target/review/. They need
# a C++20 compiler and POSIX, and nothing of the project.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for source in standins/*.cpp; do
  name="$(basename "$source" .cpp)"
  g++ -std=c++20 -O2 -Wall -Wextra -o "$out/$name" "$source" -pthread
done
