#!/usr/bin/env bash
# Installs the packages that the build, the tests and the linters need on Debian 12, if any is missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy git
  libboost-dev libthrift-dev prometheus-cpp-dev libtomlplusplus-dev libcxxopts-dev
  libgoogle-glog-dev libabsl-dev doctest-dev libxxhash-dev nlohmann-json3-dev librapidcheck-dev
  libssl-dev libspdlog-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
if [ "$(id -u)" -ne 0 ]; then
  echo "setup: root is required to install missing packages: ${missing[*]}" >&2
  exit 1
fi
echo "setup: installing ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
