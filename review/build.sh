#!/usr/bin/env bash
# Builds the stand-ins of the scripts into build-review/. Needs only the packages that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release
cmake --build build-review -j 4
