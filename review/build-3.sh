#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/. They need the C++ compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build-review-3/cases review/standins-3/*.cc
