#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/. Needs
# the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target daisylanding harness
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
  -Wno-restrict -DASIO_STANDALONE -Isrc -I. -Itests \
  review/standin/*.cpp target/libharness.a target/libstandins.a \
  target/libdaisycore.a -lfmt -lcurl -lhttp_parser -lcapnp-rpc -lcapnp \
  -lkj-async -lkj -lpopt -lxxhash -pthread -o target/review-stage
