#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review. Needs g++ alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/harness/*.cc; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cc)" "$source" &
done
for job in $(jobs -p); do wait "$job"; done
