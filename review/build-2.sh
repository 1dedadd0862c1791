#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python, need the
# standard library only, and lie in review/common-2/, where the scripts look for
# them from their own folder. Fails if a script would not find or load them.
set -e
cd "$(dirname "$0")/.."
python3 -B - <<'EOF'
import pathlib
import subprocess
import sys

REVIEW = pathlib.Path("review").resolve()
COMMON = REVIEW / "common-2"
for name in ("fleet", "kept"):
    path = COMMON / f"{name}.py"
    compile(path.read_text(), str(path), "exec")
for number in (6, 9, 10):
    script = REVIEW / str(number) / "case.py"
    compile(script.read_text(), str(script), "exec")
    # The folder that the script itself adds to the path of modules.
    folder = script.parent.parent / "common-2"
    code = f"import sys; sys.path.insert(0, {str(folder)!r}); import fleet, kept"
    subprocess.run([sys.executable, "-B", "-c", code], check=True, cwd="/")
print("the stand-ins of the cases 6 to 10 are found")
EOF
