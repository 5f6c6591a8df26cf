#!/usr/bin/env bash
# Builds the programs that the scripts of the review start besides the two of the deploy file, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    [[ -e $source ]] || continue
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case-${source%%/*}" "$source" standins/harness.cpp
done
