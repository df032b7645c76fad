#!/bin/sh
# Builds the stand-ins and the programs of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/Case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standin -I /usr/include/jsoncpp "$source" \
    -o "target/review/case-$number" -ljsoncpp
done
