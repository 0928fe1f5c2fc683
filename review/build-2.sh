#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, to build/review-2.
set -eu
cd "$(dirname "$0")/.."
output=build/review-2
mkdir -p "$output"
objects=()
processes=()
for source in review/standins-2/*.cpp; do
    object="$output/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
    processes+=($!)
done
for process in "${processes[@]}"; do
    wait "$process"
done
g++ -pthread "${objects[@]}" -o "$output/review-2"
