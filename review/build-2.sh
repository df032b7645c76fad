#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O1 -Wall -Wextra -pthread -I review $(pkg-config --cflags jsoncpp)"
for source in review/[6-9]/Case.cc review/10/Case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" -o "target/review-2/case-$number" $(pkg-config --libs jsoncpp)
done
