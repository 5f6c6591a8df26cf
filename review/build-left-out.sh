#!/usr/bin/env bash
# Builds the programs of review/budget and review/slow-readers, which are no cases; after review/build-2.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in budget slow-readers; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/$name/case.cpp" target/review-2/{lab,replica}.o \
        -o "target/review-2/case-$name"
done
