#!/usr/bin/env bash
# Builds the stand-ins of the second review into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for program in crashing_request resumed_stream spoiled_answers; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -o "build-review-2/$program" "review/standins-2/$program.cc" review/standins-2/world.cc
done
