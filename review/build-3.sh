#!/usr/bin/env bash
# Prepares what the cases 11 to 15 start besides the nodes. The stand-ins are
# Python programs of the standard library, so that they are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python="${PYTHON:-$(command -v python3.11 || command -v python3)}"
"$python" - common-3/*.py 1[1-5]/*.py <<'EOF'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
