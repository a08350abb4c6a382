#!/bin/sh
# Builds what the cases 4 to 8 start, into target/: the node as the deploy file
# does, the project's stand-ins, and the drivers of the cases. Runs after, or
# instead of, the deployment's own build; needs no network.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
cmake --build target -j"${JOBS:-8}" --target knapweedstile knap_users_site
mkdir -p target/review-2
includes="-Ireview -Itests"
for library in base http observe; do
  includes="$includes -Ilibs/$library/include"
done
for source in review/[4-8]/driver.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  "${CXX:-g++}" -std=c++20 -O1 -DXXH_INLINE_ALL $includes "$source" \
    target/tests/users_platform/libknap_users_site.a \
    target/tests/harness/libknap_harness.a \
    target/libs/http/libknap_http.a target/libs/base/libknap_base.a \
    -lboost_json -lboost_url -lfmt -lpthread \
    -o "target/review-2/case-$number"
done
