#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into review/build.
set -eu
cd "$(dirname "$0")"
cmake -S harness -B build >build.log 2>&1 || { cat build.log; exit 1; }
cmake --build build -j4 >>build.log 2>&1 || { tail -n 40 build.log; exit 1; }
rm -f build.log
