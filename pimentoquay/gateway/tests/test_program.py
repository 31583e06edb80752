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
    path = tmp_path / "local.json"
    path.write_text(json.dumps(SETTINGS))
    with subprocess.Popen(
        [sys.executable, "-m", "pimentoquay.gateway"],
        env={**os.environ, "PIMENTOQUAY_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
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


def read_until(process, message):
    for line in process.stdout:
        if message in messages(line):
            return
    raise AssertionError(f"the process has ended before {message!r}")


def messages(text):
    return [json.loads(line)["message"] for line in text.splitlines()]
