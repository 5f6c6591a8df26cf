#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6, 7, 8 and 10 into target/review-2, behind the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
common=()
for source in review/standins-2/*.cpp; do
    object="target/review-2/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object"
    common+=("$object")
done
# The server of case 6 and its child processes are the project's own stand-ins.
g++ -std=c++20 -O1 -Wall -Wextra -pthread -DASIO_STANDALONE -Ilibs/core/include -Ilibs/http1/include -Iplatform/soak \
    review/6/case.cpp platform/soak/{child_process,run_after,standin_server}.cpp \
    target/libs/http1/libmedlarrack_http1.a target/libs/core/libmedlarrack_core.a -lhttp_parser -lcrypto \
    -o target/review-2/case-6
for source in review/{7,8,10}/case.cpp; do
    [[ -e $source ]] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "${common[@]}" -o "target/review-2/case-$number"
done
