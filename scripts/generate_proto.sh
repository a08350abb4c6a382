#!/usr/bin/env bash
# Regenerates libs/wire/generated after a change to the .proto file. Needs
# Debian's protobuf-compiler; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=libs/wire/proto --cpp_out=libs/wire/generated \
  libs/wire/proto/knapweedstile.proto
