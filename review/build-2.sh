#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/7 to review/9 start, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-2 -j"${JOBS:-6}" --target review-2
