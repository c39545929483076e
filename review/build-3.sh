#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the gateway. Their stand-ins are Python modules that
# need nothing but the standard library, so that there is only their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin-3/site3.py 1[1-3]/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
CHECK
