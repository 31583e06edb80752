"""Each request gets an answer while configurations with less in them come in force beside it."""

import asyncio
import json

import pytest

from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, until

pytestmark = pytest.mark.looptime(start=1000)


def without(version, what):
    item = json.loads(configuration(version))
    if what in ("routes", "both"):
        item["routes"] = [each for each in item["routes"] if each["name"] == "other"]
    if what in ("services", "both"):
        item["services"] = [{**item["services"][0], "name": "other"}]
    if what == "memory":
        item["services"][1].pop("engineId")
    if what == "plain":
        item["routes"] = [
            {**each, "kind": "idempotent", "service": "desk"} for each in item["routes"]
        ]
    return json.dumps(item).encode()


@pytest.mark.parametrize("what", ["routes", "services", "both", "memory", "plain"])
@pytest.mark.parametrize("wait", [0.0, 0.02, 0.3, 1.0])
async def test_each_request_is_answered_beside_a_change(what, wait):
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        for engine in env.engine_by_id.values():
            engine.pause = 0.05
        ended: list[tuple[str, int, int, object]] = []

        async def ask(path, number):
            await asyncio.sleep(number * 0.05)
            try:
                if path.startswith(("/digest", "/sheet")):
                    answer = await env.stream(path)
                else:
                    answer = await env.send_request(path)
                ended.append((path, number, answer.status, answer.is_whole))
            except Exception as error:
                ended.append((path, number, 0, repr(error)))

        tasks = [
            asyncio.create_task(ask(f"/{name}/a{number}", number))
            for number in range(30)
            for name in ("look", "order", "digest", "sheet")
        ]
        await asyncio.sleep(wait + 0.2)
        await env.store.put("keyed.op", "config", without(2, what))
        await until(lambda: gateway.fleet.configuration.version == 2, "in force")
        await asyncio.sleep(0.3)
        await env.store.put("keyed.op", "config", configuration(3))
        async with asyncio.timeout(60):
            await asyncio.gather(*tasks)
        assert len(ROUTES) * 30 == len(ended)
        assert not [each for each in ended if not each[2] or each[3] is not True]
