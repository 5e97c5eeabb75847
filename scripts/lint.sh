#!/usr/bin/env bash
# Checks the format of the given source files, or of all, and runs clang-tidy on them. Requires a
# build by scripts/build.sh. A file that passed is skipped until it, a header that it includes or the
# checks change; LAGOONWIND_LINT_CACHE names the cache directory for this.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.h' '*.cc' | grep -v '/gen/')
fi
clang-format --dry-run --Werror "${files[@]}" || { echo "lint: run clang-format -i on the files above" >&2; exit 1; }
# GCC 12 evaluates the right operand whatever the left one is.
if grep -nE '(&&|\|\|)[[:space:]]*!?co_await' "${files[@]}"; then
  echo "lint: co_await as the right operand of && or ||; await in a statement of its own" >&2
  exit 1
fi
# Clang 14 supports coroutines, but does not define the macros that libstdc++ 12 and Boost 1.74 test.
export COROUTINES="--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-Wno-unknown-warning-option"
export CACHE=${LAGOONWIND_LINT_CACHE:-.cache/lint}
mkdir -p "$CACHE"
CHECKS=$(cat .clang-tidy scripts/lint.sh | sha256sum | cut -c1-64)
DEPS=$(mktemp)
trap 'rm -f "$DEPS"' EXIT
ninja -C build -t deps >"$DEPS" 2>/dev/null || true
export CHECKS DEPS
# Prints the paths of a source file and of the headers in this repository that it includes.
inputs() {
  awk -v want="$PWD/$1" -v top="$PWD/" '
    /^[^ ].*: #deps/ { if (hit) exit; n = 0; hit = 0; next }
    /^ / { sub(/^ +/, ""); if ($0 == want) hit = 1; if (index($0, top) == 1) list[n++] = $0 }
    END { if (hit) for (i = 0; i < n; i++) print list[i]; else print want }' "$DEPS"
}
check() {
  local key
  key=$({ echo "$CHECKS $1"; inputs "$1" | xargs cat; } | sha256sum | cut -c1-64)
  [ -e "$CACHE/$key" ] && return 0
  # shellcheck disable=SC2086
  if clang-tidy -p build --quiet $COROUTINES "$1" 2>/dev/null; then
    touch "$CACHE/$key"
  else
    echo "lint: $1 failed" >&2
    return 1
  fi
}
export -f check inputs
printf '%s\n' "${files[@]}" | { grep '\.cc$' || true; } | xargs -r -P "$(nproc)" -I{} bash -c 'check "$1"' _ {} ||
  { echo "lint: clang-tidy reported problems" >&2; exit 1; }
echo "lint: clean"
