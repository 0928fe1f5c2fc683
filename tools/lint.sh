#!/usr/bin/env bash
# Checks formatting, clang-tidy findings and the style rules that neither tool covers.
set -u
status=0
sources=$(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v /generated/)
if ! clang-format --dry-run --Werror $sources; then
    echo "lint: format with 'make format'"
    status=1
fi
# Types are explicit; auto is allowed only for iterators and lambdas.
if grep -nE '\bauto\b' $sources | grep -vE 'auto&?& ?(message|alternative)\)|auto [a-zA-Z]+ = \[|: *(///|//)'; then
    echo "lint: auto is for iterators and lambdas only"
    status=1
fi
# Members are accessed through this, so their names need no m_ prefix or trailing underscore.
if grep -nE '\bm_[a-z]|\b[a-z][A-Za-z]*_\b[;, )]' $sources | grep -vE '[A-Z_]{3,}|continue_|::[a-z]+_\b'; then
    echo "lint: names have no m_ prefix and no trailing underscore"
    status=1
fi
if ! git ls-files --cached --others --exclude-standard 'libs/core/*.h' 'libs/core/*.cpp' 'libs/scheduling/*.h' 'libs/scheduling/*.cpp' | grep -v tests/ | xargs grep -nE '#include <(boost/asio|boost/beast|fstream|iostream|thread|mutex|sys/|unistd)'; then
    :
else
    echo "lint: the core does no input or output"
    status=1
fi
# Field names and paths of the platform protocol appear only in platform/.
if git ls-files --cached --others --exclude-standard 'libs/*.h' 'libs/*.cpp' 'apps/*.h' 'apps/*.cpp' | xargs grep -nE '"(fencing-token|ack-seq|schema-version|deadline-ms|run-id|mem-mb)"|/v1/'; then
    echo "lint: the platform's names belong to platform/"
    status=1
fi
# An error of a coroutine that is started with asio::detached is lost; only Listener uses it, for handlers that catch their errors.
if grep -n 'asio::detached' $(git ls-files --cached --others --exclude-standard 'libs/*/src/*.cpp' 'apps/*.cpp' 'platform/src/*.cpp') | grep -v '^libs/runtime/src/Listener.cpp:'; then
    echo "lint: coroutines are started with spawnTask() or spawnOperation()"
    status=1
fi
# Clang cannot read precompiled headers of GCC, so clang-tidy uses a configuration without them.
cmake -S . -B build/lint -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
units=$(git ls-files --cached --others --exclude-standard 'libs/*/src/*.cpp' 'apps/*.cpp' 'platform/src/*.cpp' 'platform/standins/*.cpp' 'standins/*.cpp' 'bench/*.cpp' | grep -v /tests/)
if ! echo "$units" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build/lint --extra-arg=-Wno-unknown-warning-option 2>/dev/null; then
    echo "lint: clang-tidy has findings"
    status=1
fi
[ "$status" -eq 0 ] && echo "lint: clean"
exit "$status"
