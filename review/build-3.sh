#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the build of the deploy file, whose libraries it uses:
# the project's own stand-ins, into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Isrc -Iplatform -Iplatform/standin -Igenerated \
    review/harness-3/main.cpp platform/standin/*.cpp $(ls src/standin_core/*.cpp | grep -v /tst_) \
    -Wl,--start-group target/libcicadagap_*.a -Wl,--end-group \
    -lboost_json -lnghttp2 -llog4cplus -lxxhash -lprotobuf -lssl -lcrypto -lpthread -o target/review-3/standin
