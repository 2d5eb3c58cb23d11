#!/bin/sh
# Builds the cases of the third sitting into target/review-3/. Needs a C++20
# compiler and nlohmann-json3-dev, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for n in 9 10 11 12 13 14; do
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -o "target/review-3/case-$n" "review/$n/case.cc" -pthread
done
