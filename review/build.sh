#!/usr/bin/env bash
# Builds the stand-ins and scenarios of review/N/run.sh in review/build. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release >build/configure.log 2>&1 || { cat build/configure.log; exit 1; }
cmake --build build -j "${CICADALUG_JOBS:-6}"
