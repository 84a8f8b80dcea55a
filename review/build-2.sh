#!/usr/bin/env bash
# Builds the stand-ins and tests of the second review into target/review-2/. Needs a compiler and
# nlohmann-json, which the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -I review/standins-2 "$source" -o "target/review-2/case-$name" &
done
for job in $(jobs -p); do wait "$job"; done
