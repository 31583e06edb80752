"""Versions and origins of streams are written while what is known of them changes."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.platform.store import VERSION_TOPIC
from pimentoquay.standin.platform_engine import PlatformEngine

# In virtual time, as a version expires after more than a minute.
pytestmark = pytest.mark.looptime(start=1000)


async def test_a_gateway_goes_on_if_a_version_expires_while_the_store_is_slow(monkeypatch):
    """The gateway ended with KeyError, as it told its peers of a version that it had dropped."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        put, answered = gateway.store.put, asyncio.Event()
        waiting = []

        async def put_slowly(topic, key, value):
            if topic == VERSION_TOPIC:
                waiting.append(key)
                await answered.wait()
            return await put(topic, key, value)

        monkeypatch.setattr(gateway.store, "put", put_slowly)
        await env.add_engine(PlatformEngine("dec-9", "llm", stage="decode", software="v9"))
        await until(lambda: waiting, "version written")
        await env.engine_by_id["dec-9"].close()
        await env.store.put("keyed.servers", "dec-9", b"")
        await asyncio.sleep(gateway.origins.life_seconds + 30.0)
        assert ("llm", "v9") not in gateway.origins.served_versions()
        answered.set()
        await asyncio.sleep(1.0)
        assert not env.has_ended("vm-1")
        assert (await env.stream()).status == 200
