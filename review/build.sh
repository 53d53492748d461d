#!/bin/bash
# Builds the stand-ins and the programs of the cases into target/review, after the build of
# deploy/service.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*; do
    [ -e "$folder/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Isrc "$folder/case.cpp" target/libdunebridge_wire.a -pthread \
        -o "target/review/case-$(basename "$folder")"
done
