#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into
# target/review-3/. To be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake --build target -j8 --target harness
mkdir -p target/review-3
Flags="-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers"
Flags="$Flags -Wno-restrict -DASIO_STANDALONE -I. -Isrc -Itests"
Libraries="target/libharness.a target/libstandins.a target/libdaisycore.a"
Libraries="$Libraries -lfmt -lcurl -lhttp_parser -lcapnp-rpc -lcapnp"
Libraries="$Libraries -lkj-async -lkj -lpopt -lxxhash -lpthread"
c++ $Flags -c review/standin-11/Cell.cpp -o target/review-3/Cell.o
for Program in Memory Reads Gang; do
  Name=$(echo "$Program" | tr 'A-Z' 'a-z')
  c++ $Flags "review/standin-11/${Program}Main.cpp" target/review-3/Cell.o \
    $Libraries -o "target/review-3/$Name"
done
