"""Runs the commands of the tutorial in a shell, against the programs that it starts."""

import os
import re
import signal
import socket
import subprocess
import sys
import time
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

import pytest

from pimentoquay.ctl.reference import main as write_reference
from pimentoquay.ctl.reference import pages

ROOT = Path(__file__).parents[3]
DOCS = ROOT / "docs"
EXPECTED = re.compile(r"# (?:exit status (\d+): |prints )(.*)")
PROGRAMS = ("bench", "control", "ctl", "entry", "standin")

CURL = """\
import sys, urllib.error, urllib.request
words = sys.argv[1:]
headers = [words[at + 1].split(": ", 1) for at, word in enumerate(words) if word == "-H"]
body = words[words.index("-d") + 1].encode()
request = urllib.request.Request(words[words.index("-s") + 1], body, dict(headers))
try:
    answer = urllib.request.urlopen(request)
except urllib.error.HTTPError as error:
    answer = error
print(answer.read().decode())
"""
"""Script used instead of curl, so that the tests do not need curl to be installed."""

PORT_COUNT = 60
READY_TIMEOUT_SECONDS = 240
STEPS_TIMEOUT_SECONDS = 240


@dataclass
class Step:
    """Command of the tutorial, with the exit status and the output that the tutorial states."""

    line: str
    status: int
    texts: list[str]


def steps():
    """Return the commands of the tutorial in order."""
    found: list[Step] = []
    for line in (DOCS / "tutorial.md").read_text(encoding="utf-8").splitlines():
        text = line.removeprefix("    ")
        if text == line or not text.strip():
            continue
        expected = EXPECTED.fullmatch(text)
        if expected is None:
            found.append(Step(text, 0, []))
        else:
            found[-1].status = int(expected[1] or 0)
            found[-1].texts.append(expected[2])
    return found


def install(directory):
    """Install scripts for curl and this checkout's programs where the tutorial expects them."""
    directory.mkdir(parents=True)
    runs = {f"pimentoquay-{name}": f"-m pimentoquay.{name}.program" for name in PROGRAMS}
    (directory / "curl.py").write_text(CURL, encoding="utf-8")
    for name, words in (runs | {"curl": f"'{directory}/curl.py'"}).items():
        script = f"#!/bin/sh\nPYTHONPATH='{ROOT}' exec '{sys.executable}' {words} \"$@\"\n"
        (directory / name).write_text(script, encoding="utf-8")
        (directory / name).chmod(0o755)


def free_ports():
    """Return the first port of a range of ``PORT_COUNT`` free ports.

    The search begins elsewhere in each process. Two runs of the tests at once took the same
    range, as nothing had bound its ports yet, and then changed each other's configuration.
    """
    ranges = range(21000, 32000, PORT_COUNT)
    start = os.getpid() % len(ranges)
    for first in (*ranges[start:], *ranges[:start]):
        if all(is_free(port) for port in range(first, first + PORT_COUNT)):
            return first
    raise OSError("no range of free ports")


def is_free(port):
    """Return whether a port of the loopback interface is free."""
    with closing(socket.socket()) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_for(path, text, process=None):
    """Wait until a file contains a text; fail on a timeout or if the writing process has ended."""
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while text not in path.read_text(encoding="utf-8"):
        assert process is None or process.poll() is None, path.read_text(encoding="utf-8")
        assert time.monotonic() < deadline, path.read_text(encoding="utf-8")
        time.sleep(0.2)


@pytest.fixture
def served(tmp_path):
    """Run the VMs of ``make serve`` in a temporary directory and yield the directory."""
    bin_directory = tmp_path / ".venv" / "bin"
    install(bin_directory)
    command = ["sh", str(ROOT / "tools" / "demo.sh"), str(bin_directory), "serve"]
    environment = {**os.environ, "DEMO_FIRST_PORT": str(free_ports())}
    path = tmp_path / "serve.out"
    with path.open("w", encoding="utf-8") as output:
        process = subprocess.Popen(
            command, cwd=tmp_path, env=environment, stdout=output, stderr=subprocess.STDOUT
        )
    try:
        wait_for(path, "demo: ready", process)
        yield tmp_path
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=60)


def run_in_one_shell(lines, directory):
    """Run command lines in one shell, as a reader would; return the status and output of each."""
    script = "".join(
        f"{{ {line}\n}} >{number}.out 2>&1\necho $? >{number}.status\n"
        for number, line in enumerate(lines)
    )
    subprocess.run(["sh"], input=script, text=True, cwd=directory, timeout=STEPS_TIMEOUT_SECONDS)
    return [
        (
            int((directory / f"{number}.status").read_text()),
            (directory / f"{number}.out").read_text(encoding="utf-8"),
        )
        for number in range(len(lines))
    ]


def test_commands_of_the_tutorial_do_what_it_says(served):
    serve, *others = steps()
    assert serve.line == "make serve" and serve.texts == ["demo: ready"]
    assert "sh tools/demo.sh $(BIN) serve" in (ROOT / "Makefile").read_text(encoding="utf-8")
    results = run_in_one_shell([step.line for step in others], served)
    for step, (status, output) in zip(others, results, strict=True):
        assert status == step.status, (step.line, output)
        for text in step.texts:
            assert text in output, (step.line, output)
    assert sum(step.line.startswith("pimentoquay-ctl ") for step in others) >= 17
    picture = (served / "my-first-request.html").read_text(encoding="utf-8")
    assert all(f"{stage}: " in picture for stage in ("queue", "prefill", "transfer", "decode"))
    for program in ("entry", "control"):
        wait_for(served / ".demo" / f"{program}-loopback-vm-3.log", '"stopped"')


def test_reference_pages_are_current(tmp_path):
    for name, text in pages().items():
        assert (DOCS / "reference" / name).read_text(
            encoding="utf-8"
        ) == text, f"{name} is stale; run: python -m pimentoquay.ctl.reference"
    assert write_reference([str(tmp_path), "--check"]) == 1
    assert write_reference([str(tmp_path)]) == 0
    assert write_reference([str(tmp_path), "--check"]) == 0
