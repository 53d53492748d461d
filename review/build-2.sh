#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Everything that it
# makes lies under target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra review/standins-2/harness.cpp -o target/review-2/harness -pthread
