from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from pimentoquay.bench.load import caller as caller_module
from pimentoquay.bench.load.command import run_load
from pimentoquay.bench.load.plan import LoadPlan, read_plan
from pimentoquay.entry.tests.http_rig import KEY, http_rig
from pimentoquay.kernel.serving import serve_http
from pimentoquay.kernel.settings import SettingsError
from pimentoquay.standin.serve_engine import engine_app
from pimentoquay.standin.serve_plain import plain_app

PLAN = f"""
[load]
entries = {{entry}}
engines = {{p1}} {{d1}}
services = {{plain}}
settle_seconds = 0.1

[stream chat]
workspace = print
key = {KEY}
endpoint = chat
model = diag-llm
kind = diagnosis
rate = 40
max_tokens = 10
prompt_tokens_high = 60
cancel_share = 0.3

[stream whole]
workspace = print
key = {KEY}
model = diag-llm
streaming = no
rate = 20
max_tokens = 10
prompt_tokens_high = 60

[stream toner]
workspace = print
key = {KEY}
endpoint = service
path = toner/status
rate = 20
"""


def write_plan(path: Path, addresses: dict[str, str]) -> LoadPlan:
    path.write_text(PLAN.format(**addresses))
    return read_plan(path)


@asynccontextmanager
async def load_rig(path: Path):
    async with AsyncExitStack() as stack:
        rig = await stack.enter_async_context(http_rig())
        apps = {name: engine_app(engine) for name, engine in rig.engine_by_name.items()}
        apps["plain"] = plain_app(rig.plain)
        addresses = {
            name: await stack.enter_async_context(serve_http(app, "127.0.0.1:0"))
            for name, app in apps.items()
        }
        addresses["entry"] = rig.url.removeprefix("http://")
        yield rig, write_plan(path, addresses)


async def test_a_load_is_answered_and_checked(tmp_path, capsys):
    async with load_rig(tmp_path / "load.ini") as (_, plan):
        report = await run_load(plan, 1.0, seed=1)
    assert report.is_clean, report
    assert report.sent == report.answered + report.cancelled + report.refused > 20
    assert report.answered and report.cancelled and report.in_target
    assert "print/diagnosis" in capsys.readouterr().out


async def test_wrong_answers_and_false_refusals_are_reported(tmp_path, monkeypatch):
    monkeypatch.setattr(caller_module, "answer_text", lambda prompt, limit: "another answer")
    original = caller_module.Caller._request_unstreamed

    async def refuse_after_running(self, peer, progress, prompt):
        await original(self, peer, progress, prompt)
        progress.refused_ids.append(progress.request_ids[-1])
        return self._result(progress, caller_module.Outcome.REFUSED, 200)

    monkeypatch.setattr(caller_module.Caller, "_request_unstreamed", refuse_after_running)
    async with load_rig(tmp_path / "load.ini") as (rig, plan):
        rig.engine_by_name["d1"].set_speed(0.01)
        report = await run_load(plan, 0.2, seed=1)
    assert not report.is_clean
    assert report.wrong_answer and report.untrue_not_run == report.refused > 0


def test_invalid_plan_is_rejected_with_the_name_of_the_setting(tmp_path):
    path = tmp_path / "load.ini"
    path.write_text("[load]\nentries = x\n[stream a]\nworkspace = w\nkey = k\nrate = -1\n")
    with pytest.raises(SettingsError, match=r"\[stream a\].*rate = '-1'"):
        read_plan(path)
