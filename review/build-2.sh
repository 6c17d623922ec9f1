#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and following of the second review into target/review-2. Run in
# the repository's root; needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-6]/case.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I review/common-2 "$source" -o "target/review-2/case-$number"
done
