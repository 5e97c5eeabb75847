#!/usr/bin/env bash
# Builds all targets into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
# Makes cache hits independent of the path of the worktree.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -G Ninja -S . -B build >build.log.tmp 2>&1 || { cat build.log.tmp; rm -f build.log.tmp; echo "build: cmake configuration failed" >&2; exit 1; }
rm -f build.log.tmp
ninja -C build --quiet || { echo "build: compilation failed" >&2; exit 1; }
