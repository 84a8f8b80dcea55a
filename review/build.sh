#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
