#!/usr/bin/env bash
# Makes packages/wire/gen anew from the interface definition.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton,moveable_types -out packages/wire/gen packages/wire/idl/lagoonwind.thrift
