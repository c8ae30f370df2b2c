#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, in target/review-2/, beside the program that the build command
# of the deploy file has made: the stand-ins and the test support of the project, and the driver of each case.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=ON >/dev/null
cmake --build target/review-2 --target marjoramloom_standins marjoramloom_test_support
libraries=(-lboost_json -lboost_container -lssl -lcrypto -lprotobuf -lnng -llog4cxx -lpopt -lurcu-bp -lxxhash -lpthread)
for source in review/6/*.cpp review/7/*.cpp review/8/*.cpp review/9/*.cpp review/10/*.cpp; do
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -DNDEBUG -DBOOST_ASIO_NO_DEPRECATED -Itests -Iinclude -I. -isystem src/proto "$source" \
        -o "target/review-2/$(basename "$source" .cpp)" target/review-2/tests/libmarjoramloom_test_support.a \
        target/review-2/libmarjoramloom_core.a "${libraries[@]}"
done
