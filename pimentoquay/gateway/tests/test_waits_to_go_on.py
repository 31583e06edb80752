"""Streams that callers take up and that wait for the engines of their version."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.gateway.tests.test_software_versions import (
    add_version,
    resume_headers,
)


@pytest.mark.parametrize("is_taken_up", [False, True])
async def test_a_gateway_that_reaches_no_engine_sends_callers_on_at_once(monkeypatch, is_taken_up):
    """New streams get 503 at once; one that goes on waits here until its caller's timeout."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        monkeypatch.setattr(gateway.links, "is_circuit_open", lambda engine, now: True)
        started_at = asyncio.get_running_loop().time()
        headers = (*model_headers(), *(resume_headers("first", 1) if is_taken_up else ()))
        response = await env.send_request("/digest/a", headers=headers, deadline_ms=8000)
        seconds = asyncio.get_running_loop().time() - started_at
        assert (response.status, seconds < 1.0) == (503, True), seconds


async def test_a_stream_is_refused_at_once_if_all_engines_of_its_version_pause(monkeypatch):
    """It waits for them until its timeout, as engines of another version do not pause."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await env.stream("/digest/first", request_id="first")
        await until(lambda: gateway.origins._is_loaded, "loaded")
        await add_version(env, "v2", "new-1")
        pauses = {"dec-1": 60.0, "dec-2": 60.0}
        monkeypatch.setattr(gateway.fleet, "pause_seconds", lambda each: pauses.get(each.id, 0.0))
        started_at = asyncio.get_running_loop().time()
        headers = (*model_headers(), *resume_headers("first", 1))
        response = await env.send_request("/digest/a", headers=headers, deadline_ms=8000)
        seconds = asyncio.get_running_loop().time() - started_at
        assert (response.status, seconds < 1.0) == (503, True), seconds
