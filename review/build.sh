#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common -o "target/review/case-$name" \
        "$source" review/common/sockets.cpp review/common/deployment.cpp &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"
