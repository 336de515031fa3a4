#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/. They need the compiler and the C++ library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
g++ -std=c++20 -O1 -pthread -Wall -Wextra review/standins/cases.cc -o build-review/review-cases
