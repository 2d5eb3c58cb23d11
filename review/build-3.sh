#!/bin/sh
# Builds the cases of the third review into target/review-3, with the packages of
# the deploy file alone. Their store, workers and clients are review/lib-3/kit.h,
# in the case's own process; the project's stand-ins are not started.
set -eu
cd "$(dirname "$0")"
out=../target/review-3
mkdir -p "$out"
for name in 9 10 11; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$name/case.cc" -o "$out/case-$name"
  echo "built case-$name"
done
