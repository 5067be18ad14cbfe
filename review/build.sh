#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standin/json.cpp -o bin/json.o
for source in pipelined head second_answer stale_followers long_header; do
  g++ "${flags[@]}" "standin/$source.cpp" bin/json.o -o "bin/$source"
done
