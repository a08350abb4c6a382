#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review. To be run
# after the build line of deploy/system.toml; it uses the same tree.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF >/dev/null
cmake --build target -j8 --target knap_users_site
mkdir -p target/review
includes=(-Itests)
for folder in libs/*/include; do includes+=("-I$folder"); done
for source in review/[1-9]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers \
    "${includes[@]}" "$source" -o "target/review/case$number" \
    target/tests/users_platform/libknap_users_site.a \
    target/tests/harness/libknap_harness.a target/libs/http/libknap_http.a \
    target/libs/base/libknap_base.a -lboost_url -lboost_json -lfmt -lpthread
done
