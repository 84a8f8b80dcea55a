#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into review/standins-3/build/.
set -e
cd "$(dirname "$0")/standins-3"
mkdir -p build
for source in *.cc; do
  ${CXX:-g++} -std=c++20 -O1 -pthread -o "build/${source%.cc}" "$source"
done
