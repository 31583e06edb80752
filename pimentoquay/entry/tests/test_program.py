import json
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from pimentoquay.entry.connections import bind

VALID_SETTINGS = """
[vm]
name = vm-a
region = tt-north
data_centre = city-hall
[cluster]
key = shared
[control]
address = 127.0.0.1:1
[http]
listen = {listen}
drain_notice_seconds = 0
"""
COMMAND = [sys.executable, "-m", "pimentoquay.entry.program"]


def run(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, timeout=30)


def http_status(url: str) -> int:
    """Return the HTTP status of a URL, after waiting for a server to listen there."""
    for _ in range(200):
        try:
            with urllib.request.urlopen(url) as answer:
                return answer.status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(url)


def test_all_invalid_settings_are_reported_and_nothing_starts(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text(
        VALID_SETTINGS.format(listen="127.0.0.1:0\nmax_requests = many\nport = 1") + "[x]\n"
    )
    ended = run("--config", str(path))
    assert ended.returncode == 2
    assert "[http] max_requests = 'many': allowed: a whole number from 1" in ended.stderr
    assert "[http] port = '1'" in ended.stderr
    assert "[x]: allowed: sections" in ended.stderr
    path.write_text(VALID_SETTINGS.format(listen="here"))
    ended = run("--config", str(path))
    assert ended.returncode == 2
    assert "[http] listen = 'here': allowed: a free IP:PORT" in ended.stderr


def test_caller_connections_send_small_writes_without_delay():
    with bind("127.0.0.1:0") as listener, socket.create_connection(listener.getsockname()):
        accepted, _ = listener.accept()
        with accepted:
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@pytest.mark.parametrize("option", ["--help", "--version"])
def test_help_and_version(option):
    ended = run(option)
    assert ended.returncode == 0
    assert "pimentoquay-entry" in ended.stdout


def test_the_program_serves_logs_json_and_drains_on_sigterm(tmp_path):
    with bind("127.0.0.1:0") as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    path = tmp_path / "entry.ini"
    path.write_text(VALID_SETTINGS.format(listen=address))
    with subprocess.Popen(
        [*COMMAND, "--config", str(path)], stderr=subprocess.PIPE, text=True
    ) as process:
        try:
            assert http_status(f"http://{address}/healthz") == 200
            assert http_status(f"http://{address}/readyz") == 503
            process.send_signal(signal.SIGTERM)
            _, errors = process.communicate(timeout=20)
        finally:
            process.kill()
    assert process.returncode == 0
    messages = [json.loads(line)["message"] for line in errors.splitlines()]
    assert messages == ["started", "draining", "stopped"]
