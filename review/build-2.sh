#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build-review-2/. Needs only the packages that
# deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second/standins -B build-review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2 -j 4
