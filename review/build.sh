#!/bin/sh
# Builds the stand-ins and the programs of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -Wall -Wextra -pthread -I review $(pkg-config --cflags jsoncpp)"
for source in review/[1-5]/Case.cc; do
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" -o "target/review/case-$number" $(pkg-config --libs jsoncpp)
done
