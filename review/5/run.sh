#!/usr/bin/env bash
# Plays the case on loopback addresses. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x "$root/target/review/review-case" ] || exit 2
timeout -k 5 115 "$root/target/review/review-case" fill-restart "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
