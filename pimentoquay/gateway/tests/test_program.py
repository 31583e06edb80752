"""Signals to the process of a gateway."""

import json
import os
import signal
import subprocess
import sys

import pytest

SETTINGS = {
    "nodeName": "vm-1",
    "zone": "hall",
    "ipAddr": "127.0.0.1",
    "listen": {"frontAddr": "127.0.0.1:0", "readyAddr": "127.0.0.1:0"},
    "platform": {"address": "127.0.0.1:1"},
}


@pytest.mark.parametrize(
    ("second", "status"), [(signal.SIGTERM, 0), (signal.SIGINT, 130)], ids=["SIGTERM", "SIGINT"]
)
def test_a_second_sigterm_does_not_end_a_planned_stop(second, status, tmp_path):
    """It ended the process at once, with all requests in progress."""
    with python(tmp_path, "-m", "pimentoquay.gateway") as process:
        try:
            read_until(process, "started")
            process.send_signal(signal.SIGTERM)
            read_until(process, "draining")
            process.send_signal(second)
            rest, _ = process.communicate(timeout=20)
        finally:
            process.kill()
    assert process.returncode == status
    assert ("drained" in messages(rest)) is (status == 0)


SIGNAL_AT_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("pimentoquay.") and name not in ENTRY:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)

ENTRY = ("pimentoquay.gateway", "pimentoquay.gateway.__main__")
sys.argv[:] = ["gateway"]
sys.meta_path.insert(0, Finder())
runpy.run_module("pimentoquay.gateway", run_name="__main__", alter_sys=True)
"""
"""Program that runs the gateway and gets SIGHUP as it begins to import the gateway's modules."""


def test_sighup_does_not_end_a_gateway_that_is_starting(tmp_path):
    """It ended the process while the package imported its modules."""
    with python(tmp_path, "-c", SIGNAL_AT_IMPORT) as process:
        try:
            read_until(process, "started")
        finally:
            process.kill()


def python(folder, *arguments):
    """Start the interpreter with the settings of a gateway."""
    path = folder / "local.json"
    path.write_text(json.dumps(SETTINGS))
    return subprocess.Popen(
        [sys.executable, *arguments],
        env={**os.environ, "PIMENTOQUAY_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )


def read_until(process, message):
    for line in process.stdout:
        if message in messages(line):
            return
    raise AssertionError(f"the process has ended before {message!r}")


def messages(text):
    return [json.loads(line)["message"] for line in text.splitlines()]
