#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins, into a folder beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra review/standins/*.cpp -o target/review/review-case -lpthread
