#!/bin/sh
# Builds the stand-ins and the cases of the third review into target/review-3.
# Needs the packages of the deploy file alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" review/lib-3/rig.cc -o "target/review-3/case-$name"
done
