#!/bin/sh
# Runs a case of the second review: run-2.sh FOLDER CASE. Used by the cases' run.sh.
# 1: the rule was broken, 0: it held, 2: the case could not run. The controllers end with the
# stand-ins, also if these are killed.
folder=$1
name=$2
root=$(cd "$(dirname "$0")/.." && pwd)
harness=$root/target/review-2/harness
[ -x "$harness" ] && [ -x "$root/target/dunebridge" ] || exit 2
temporary=$(mktemp -d) || exit 2
"$harness" "$name" "$root/target/dunebridge" "$folder/record.txt" "$temporary" "${SEED:-$$}" &
child=$!
trap 'kill -9 "$child" 2>/dev/null; rm -rf "$temporary"; exit 2' INT TERM
wait "$child"
result=$?
[ -n "$KEEP" ] && cp "$temporary"/*.log "$KEEP"/
rm -rf "$temporary"
case $result in 0 | 1) exit $result ;; esac
exit 2
