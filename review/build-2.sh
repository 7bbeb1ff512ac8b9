#!/usr/bin/env bash
# Build the stand-ins of the scripts in review/6 to review/10: Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2
