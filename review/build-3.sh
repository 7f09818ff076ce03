#!/usr/bin/env bash
# Builds the stand-ins of the cases from 9 on into target/review/. To be run
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target -j8 --target harness
OUT=target/review/3
mkdir -p "$OUT"
FLAGS=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers
  -DASIO_STANDALONE -I. -Isrc -Itests)
LIBS=(target/libharness.a target/libstandins.a target/libdaisycore.a -lfmt -lcurl
  -lhttp_parser -lcapnp-rpc -lcapnp -lkj-async -lkj -lpopt -lxxhash -lpthread)
JOBS=()
for SOURCE in review/standin-3/*.cpp review/9/*.cpp; do
  OBJECT="$OUT/$(basename "$(dirname "$SOURCE")")-$(basename "$SOURCE" .cpp).o"
  g++ "${FLAGS[@]}" -c -o "$OBJECT" "$SOURCE" &
  JOBS+=($!)
done
for JOB in "${JOBS[@]}"; do
  wait "$JOB"
done
g++ -o target/review/lasting-gang "$OUT"/9-Case.o "$OUT"/standin-3-*.o "${LIBS[@]}"
