#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: a check of their byte code. They
# are plain Python and need the standard library only.
set -e
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path("review/common-2").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
EOF
