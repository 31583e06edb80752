#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which are Python and need the packages in target/deps
# only: checks that they can be compiled and imported.
cd "$(dirname "$0")/.." || exit 1
export PYTHONDONTWRITEBYTECODE=1
exec python3 - <<'END'
import ast
import sys
from pathlib import Path

folder = Path("review")
scripts = [folder / "rig2.py", folder / "memory_platform.py", folder / "host_in_connection.py"]
for number in range(6, 11):
    scripts += sorted((folder / str(number)).glob("*.py"))
for path in scripts:
    ast.parse(path.read_text(), str(path))
sys.path[:0] = [str(folder), str(folder / "7")]
import fast_engine, memory_platform, rig2  # noqa: E401, F401
END
