#!/bin/bash
# Builds the program of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -Wno-mismatched-new-delete -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED -DBOOST_BEAST_SEPARATE_COMPILATION
    -Ireview/harness-3 -Iplatform/standins -Istandins -Ilibs/core/include -Ilibs/scheduling/include -Ilibs/wire/include -Ilibs/runtime/include -Iplatform/include
    -DREVIEW_ENTRY=\"target/apps/entry/cowslipdoor\" -DREVIEW_AGENT=\"target/apps/agent/cowslipdoor-agent\""
pids=()
for source in review/harness-3/Harness.cpp review/harness-3/Cases.cpp platform/standins/StandinServer.cpp standins/ChildProcess.cpp; do
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
libraries="target/libs/runtime/libcowslipdoor-runtime.a target/libs/wire/libcowslipdoor-wire.a target/libs/scheduling/libcowslipdoor-scheduling.a target/libs/core/libcowslipdoor-core.a"
# shellcheck disable=SC2086
g++ "$out"/Harness.o "$out"/Cases.o "$out"/StandinServer.o "$out"/ChildProcess.o -Wl,--start-group $libraries -Wl,--end-group -lprometheus-cpp-core -lspdlog -lfmt -lxxhash -lpthread -o "$out/case"
