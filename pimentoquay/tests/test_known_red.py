import subprocess
import sys
from pathlib import Path

from pimentoquay.conftest import read_known_red

RED = "def test_red():\n    assert 1 == 2\n\ndef test_green():\n    pass\n"


def run(folder: Path, listed: str) -> subprocess.CompletedProcess:
    (folder / "pimentoquay").mkdir()
    source = Path(__file__).parents[1] / "conftest.py"
    (folder / "pimentoquay" / "conftest.py").write_text(source.read_text())
    (folder / "pimentoquay" / "test_it.py").write_text(RED)
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-p", "no:xdist", "-p", "no:cacheprovider", "."]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True)


def test_a_listed_failure_passes_the_run_and_is_printed(tmp_path):
    result = run(tmp_path, "test: pimentoquay/test_it.py::test_red\nseen: 1 is not 2\n")
    assert result.returncode == 0
    assert "failed: pimentoquay/test_it.py::test_red" in result.stdout


def test_an_unlisted_failure_fails_the_run(tmp_path):
    result = run(tmp_path, "test: pimentoquay/test_it.py::test_green\n")
    assert result.returncode == 1


def test_only_test_lines_are_read():
    assert read_known_red("test: a::b\nseen: test: x\n\ntest:  c::d \n") == {"a::b", "c::d"}
