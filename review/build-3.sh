#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, with the compiler and the C++ library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/Case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$name" "$source"
done
