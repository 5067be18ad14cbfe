#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# target/review-2/. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers
  -pthread -I review/standin-2)
if [ ! -f "$out/json.o" ]; then
  g++ "${flags[@]}" -c review/standin-2/json.cpp -o "$out/json.o"
fi
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  if [ -f "$source" ]; then
    g++ "${flags[@]}" "$source" "$out/json.o" -o "$out/case-$number"
  fi
done
