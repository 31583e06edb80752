#!/usr/bin/env bash
# Checks that the stand-ins and the scripts compile; they are Python and need no other build.
# Run it after the build of the deploy file, which puts the packages into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import importlib
import pathlib

for name in ("platform_engine", "platform_store"):
    importlib.import_module(f"pimentoquay.standin.{name}")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
