#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/, after the build of
# the deploy file, whose libraries they use. Run in the repository's root.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
libraries=(-lboost_json -lfmt -lxxhash -lyaml-cpp -lcrypto -lz -pthread)
read -ra absl < <(pkg-config --libs-only-l absl_strings)
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -DBOOST_ASIO_NO_DEPRECATED -DBOOST_JSON_DYN_LINK=1 \
    -Ireview/standin-3 -Isrc -I. "$source" -o "target/review-3/$name" \
    target/libhawthornrelay_adapters.a target/libhawthornrelay_core.a \
    "${absl[@]}" "${libraries[@]}" &
done
wait
for source in review/standin-3/*.cpp; do
  test -x "target/review-3/$(basename "$source" .cpp)"
done
