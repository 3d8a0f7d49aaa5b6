#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs what the deploy file's build needs, no network and
# no test framework.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B review/build -DCMAKE_BUILD_TYPE=Release
cmake --build review/build -j"$(nproc)"
