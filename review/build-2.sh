#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file. Uses the
# library that this build leaves in target/, and the project's scripted key-value store.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
  ${CXX:-g++} -std=c++20 -O1 -DMSGPACK_NO_BOOST -DSPDLOG_FMT_EXTERNAL -Isrc -Itests \
    -Ireview/standins-2 -c "$1" -o "$out/$(basename "$1" .cpp).o"
}
compile tests/scripted_store.cpp &
first=$!
compile tests/scripted_transport.cpp &
second=$!
compile review/standins-2/world.cpp &
third=$!
compile review/standins-2/cases.cpp
wait $first
wait $second
wait $third
${CXX:-g++} "$out/scripted_store.o" "$out/scripted_transport.o" "$out/world.o" "$out/cases.o" \
  target/libdunlinknot_lib.a -lpugixml -lfmt -lspdlog -lpthread -o "$out/cases"
