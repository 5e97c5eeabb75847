#!/usr/bin/env bash
# Regenerates packages/wire/gen from the Thrift interface definition.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v thrift >/dev/null || DEBIAN_FRONTEND=noninteractive apt-get install -y -qq thrift-compiler >/dev/null
thrift --gen cpp:no_skeleton,moveable_types -out packages/wire/gen packages/wire/idl/lagoonwind.thrift
