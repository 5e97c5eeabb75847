#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets worktrees share the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -G Ninja -S . -B build >build.log.tmp 2>&1 || { cat build.log.tmp; rm -f build.log.tmp; echo "build: cmake failed" >&2; exit 1; }
rm -f build.log.tmp
ninja -C build --quiet || { echo "build: compiling failed" >&2; exit 1; }
