#!/usr/bin/env bash
# Builds the stand-ins of the third review in target/review-3/, with the compiler and the libraries of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-3
mkdir -p "$output"
for source in review/standin-3/*.cpp; do
  program=$output/$(basename "$source" .cpp)
  if [ ! -x "$program" ] || [ "$source" -nt "$program" ] || [ review/standin-3/platform.hpp -nt "$program" ]; then
    "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "$program" &
  fi
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
exit "$status"
