#!/usr/bin/env bash
# Builds the stand-in of the cases of the second review, in target/review-2/, from the libraries that the build of the
# deploy file has left in target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -include utility -DBOOST_ASIO_NO_DEPRECATED -Wno-mismatched-new-delete \
  -Ipackages/core/src -Ipackages/runtime/src review/standin-2/scheduler_platform_standin.cpp \
  -o target/review-2/platform_2 \
  target/packages/runtime/libruntime.a target/packages/core/libcore.a \
  -lglog -lyaml-cpp -lprometheus-cpp-core -lpthread
echo "built target/review-2/platform_2"
