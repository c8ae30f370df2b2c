#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/target/. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for source in [1-5]/case.cpp; do
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/case-${source%%/*}" -lboost_json
done
