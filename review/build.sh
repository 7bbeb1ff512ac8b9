#!/usr/bin/env bash
# Build the stand-ins of the review's scripts: they are Python and need no package.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib
