#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python files without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q -f .
