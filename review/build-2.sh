#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, into target/review-2/. Needs only a C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
compile=("${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread)
"${compile[@]}" -c review/lib-2/standins.cpp -o "$out/standins.o"
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${compile[@]}" "$source" "$out/standins.o" -o "$out/case-$number"
done
