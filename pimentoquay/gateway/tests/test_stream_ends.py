"""Streams of engines that send no event: whether such a run is the end of the stream."""

import pytest

from pimentoquay.gateway.tests.rig import rig
from pimentoquay.gateway.tests.test_errors_in_streams import (
    BEGINNING,
    HALF_EVENT,
    add_scripted_engines,
)
from pimentoquay.gateway.tests.test_event_order import runs
from pimentoquay.gateway.tests.test_streams import WHOLE


async def test_a_stream_that_goes_on_is_not_ended_by_an_engine_that_sends_no_event(monkeypatch):
    """It ended as whole after the events that the caller had before."""
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [BEGINNING + HALF_EVENT, b""])
        response = await env.stream()
        assert (response.body, response.is_whole) == (BEGINNING, False)


async def test_a_stream_goes_on_at_another_engine_after_one_that_sent_no_event(monkeypatch):
    async with rig() as env:
        names = await add_scripted_engines(
            env, monkeypatch, [BEGINNING + HALF_EVENT, b""], count=3, max_engines=3
        )
        response = await env.stream()
        assert (response.body, response.is_whole) == (WHOLE, True)
        assert sorted(after or "" for after in runs(env, *names)) == ["", "2", "2"]


async def test_a_stream_whose_end_two_engines_confirm_is_whole(monkeypatch):
    """Only the end of its body was lost, so that the callers have all of its events."""
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [b"", b""])
        last = ((b"Last-Event-Id", b"5"),)
        response = await env.stream(headers=last)
        assert (response.status, response.body, response.is_whole) == (200, b"", True)
        assert sorted(runs(env)) == ["5", "5"]


async def test_a_stream_that_has_all_its_tokens_is_whole_without_another_event(monkeypatch):
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [BEGINNING + HALF_EVENT, b""])
        response = await env.stream(model={"max_output": 3})
        assert (response.body, response.is_whole) == (BEGINNING, True)


@pytest.mark.parametrize(("path", "status", "count"), [("/digest/a", 200, 2), ("/sheet/a", 502, 1)])
async def test_a_stream_without_any_event_is_no_answer(path, status, count, monkeypatch):
    """A run begins with its first token, so the caller got an empty answer as a whole one."""
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [b""])
        response = await env.stream(path)
        assert (response.status, len(runs(env))) == (status, count)
        assert response.body == (WHOLE if status == 200 else b"")
