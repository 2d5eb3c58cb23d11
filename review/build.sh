#!/bin/sh
# Builds what the cases start besides the two services: the player of the cases,
# a stand-in for workers, and the project's stand-in for the store. Needs the build of
# the deploy file in target/, and its packages.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out/bin"
flags="-std=c++20 -O2 -w -Iinclude -Isrc/gen"
libs="target/libcassiaferry_app.a target/libcassiaferry_platform.a target/libcassiaferry_net.a \
  target/libcassiaferry_core.a target/libcassiaferry_gen.a \
  $(pkg-config --libs grpc++ protobuf absl_synchronization libglog gflags libxxhash) \
  -lcurl -lfmt -lhttp_parser -lz -lpthread"
g++ $flags platform/standins/store_main.cc $libs \
  -o "$out/bin/cassiaferry-platform-store-standin" &
g++ $flags review/harness/worker_main.cc $libs -o "$out/bin/cassiaferry-review-worker" &
g++ $flags review/harness/case_main.cc review/harness/deployment.cc $libs \
  -o "$out/bin/cassiaferry-review-case" &
wait
for program in platform-store-standin review-worker review-case; do
  test -x "$out/bin/cassiaferry-$program"
done
