#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  g++ -std=c++20 -O1 -pthread -Wall -o "target/review/$(basename "$source" .cc)" "$source"
done
