#!/usr/bin/env bash
# Builds the stand-ins of the second review. They need Python 3.11 only, so this checks
# that each of them can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_2.py
for number in 6 7 8 9 10; do
    if [ -f "$number/case.py" ]; then
        python3 -m py_compile "$number/case.py"
    fi
done
