#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2/. Needs only the C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -g -Wall -Wextra -Werror -pthread)
"${CXX:-c++}" "${flags[@]}" -c review/standins-2/stand.cc -o "$out/stand.o"
for source in review/standins-2/*.cc; do
    name=$(basename "$source" .cc)
    if [ "$name" != stand ]; then
        "${CXX:-c++}" "${flags[@]}" "$source" "$out/stand.o" -o "$out/$name"
    fi
done
