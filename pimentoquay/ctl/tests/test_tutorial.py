"""The tutorial's own commands, run in order against a whole cluster."""

import json
import re
import shlex
import subprocess
from contextlib import aclosing
from pathlib import Path

import pytest

from pimentoquay.configuration.view import kind_of
from pimentoquay.ctl.reference import main as write_reference
from pimentoquay.ctl.reference import pages
from pimentoquay.entry.request import RequestSpec

DOCS = Path(__file__).parents[3] / "docs"
EXPECTED = re.compile(r"# (?:exit status (\d+): |prints )(.*)")


def steps():
    """Return each command of the page with what the page says of it."""
    found: list[tuple[str, list[tuple[int, str]]]] = []
    for line in (DOCS / "tutorial.md").read_text(encoding="utf-8").splitlines():
        text = line.removeprefix("    ")
        if text == line or not text.strip():
            continue
        expected = EXPECTED.fullmatch(text)
        if expected is None:
            found.append((text, []))
        else:
            found[-1][1].append((int(expected[1] or 0), expected[2]))
    return found


def run_shell(line, directory):
    """Run one of the page's lines that change a file."""
    subprocess.run(["sh", "-c", line], check=True, cwd=directory)


async def send_request(operator, line):
    """Run what the page's curl command asks for, at the entry of one VM."""
    words = shlex.split(line)
    body = json.loads(words[words.index("-d") + 1])
    header = dict(word.split(": ", 1) for word in words if re.match(r"[A-Za-z-]+: ", word))
    workspace = published_workspace(operator)
    kind = kind_of(workspace, body["model"], header["X-Request-Kind"])
    assert kind is not None
    prompt = body["messages"][0]["content"]
    spec = RequestSpec(
        f"{workspace.name}/{header['X-Request-Id']}",
        workspace.name,
        body["model"],
        kind,
        prompt,
        len(prompt) // 4,
        (),
        body["max_tokens"],
        True,
        True,
        workspace.max_concurrent,
    )
    service = operator.cluster.vm_by_name["tt-north-vm-1"].entry.service
    async with aclosing(service.run(spec)) as frames:
        answer = b"".join([frame async for frame in frames])
    assert answer.endswith(b"data: [DONE]\n\n")


def published_workspace(operator):
    """Return the workspace in force at another VM than the one that was asked."""
    parts = operator.cluster.vm_by_name["tt-north-vm-5"].control.parts
    part = next(part for part in parts if type(part).__name__ == "ConfigurationPart")
    return part.keeper.state.workspace_by_name()["new-market"]


@pytest.mark.looptime(start=0)
async def test_commands_of_the_tutorial_do_what_it_says(operator):
    (operator.directory / ".demo").mkdir()
    commands = 0
    for line, expected in steps():
        if line.startswith("pimentoquay-ctl "):
            commands += 1
            local = line.replace(".demo/ctl.ini", operator.config)
            result = await operator.run(local, connects=False)
            for status, text in expected or [(0, "")]:
                assert result.status == status, (line, result)
                assert text in result.out + result.err, (line, result)
        elif line.startswith("curl "):
            await send_request(operator, line)
        elif not line.endswith("make demo"):
            run_shell(line, operator.directory)
    assert commands >= 15


def test_reference_pages_are_current(tmp_path):
    for name, text in pages().items():
        assert (DOCS / "reference" / name).read_text(
            encoding="utf-8"
        ) == text, f"{name} is stale; run: python -m pimentoquay.ctl.reference"
    assert write_reference([str(tmp_path), "--check"]) == 1
    assert write_reference([str(tmp_path)]) == 0
    assert write_reference([str(tmp_path), "--check"]) == 0
