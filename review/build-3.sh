#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. Needs only the C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/case*.cc; do
    name="$(basename "${source}" .cc)"
    "${CXX:-c++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-3/${name}" "${source}"
done
