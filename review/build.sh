#!/usr/bin/env bash
# Builds the programs of the cases' scripts into target/review. They need a compiler of C++20 and
# nlohmann-json3-dev, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number="$(basename "$(dirname "$source")")"
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Ireview "$source" -o "target/review/case-$number" -pthread
done
