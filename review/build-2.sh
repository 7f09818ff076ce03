#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target -j8 --target harness
OUT=target/review-2
mkdir -p "$OUT"
LIBRARIES="target/libharness.a target/libstandins.a target/libdaisycore.a
  -lfmt -lcurl -lhttp_parser -lcapnp-rpc -lcapnp -lkj-async -lkj -lpopt -lxxhash
  -lpthread"
FLAGS="-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers
  -DASIO_STANDALONE -I. -Isrc -Itests -Ireview/standin-2"
# shellcheck disable=SC2086
g++ $FLAGS -c review/standin-2/Trial.cpp -o "$OUT/Trial.o"
for MAIN in review/standin-2/*Main.cpp; do
  NAME=$(basename "$MAIN" Main.cpp)
  # shellcheck disable=SC2086
  g++ $FLAGS "$MAIN" "$OUT/Trial.o" $LIBRARIES -o "$OUT/$NAME"
done
# shellcheck disable=SC2086
g++ $FLAGS review/standin-3/LastingGangMain.cpp review/standin-3/Rig.cpp \
  review/standin-3/ExecutorFarm.cpp $LIBRARIES -o "$OUT/LastingGang"
