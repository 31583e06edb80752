#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which are Python and need the packages in target/deps
# only: checks that they can be compiled and imported.
cd "$(dirname "$0")/.." || exit 1
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import ast
import sys
from pathlib import Path

folder = Path("review")
for path in [*sorted((folder / "common-2").glob("*.py")), *sorted(folder.glob("*/case.py"))]:
    ast.parse(path.read_text(), str(path))
sys.path.insert(0, str(folder / "common-2"))
import fast_engine, memory_platform, rig2  # noqa: E401, F401
END
