#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. All processes that it starts are in one process group, which is ended at the end.
cd "$(dirname "$0")/.." || exit 2
program=target/review/cases
gateway=target/release/carobshore-gateway
if [ ! -x "$program" ] || [ ! -x "$gateway" ]; then
    echo "build the gateway and review/build.sh first" >&2
    exit 2
fi
set -m
timeout --kill-after=2 112 "$program" "$1" "review/$2" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
case "$status" in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
