#!/usr/bin/env bash
# Runs a case: run-case-2.sh NAME FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 it could not run.
set -u
root="$(cd "$(dirname "$0")/../.." && pwd)"
if [ ! -x "$root/target/release/carobshore-gateway" ] || [ ! -x "$root/target/review-2/cases" ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
timeout -k 5 110 "$root/target/review-2/cases" "$1" "$2/record.txt" "$root"
status=$?
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
