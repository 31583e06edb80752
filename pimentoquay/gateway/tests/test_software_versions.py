"""Streams while engines of several software versions serve in one service."""

from pimentoquay.gateway.tests.rig import model_headers, read_response, rig, until
from pimentoquay.standin.platform_engine import PlatformEngine


async def add_version(env, software, *ids, stage="decode"):
    """Add engines of a software version, and wait until all gateways list them."""
    for engine_id in ids:
        await env.add_engine(PlatformEngine(engine_id, "llm", stage=stage, software=software))
    await until(lambda: all(is_listed(env, each) for each in ids), "listed")


def is_listed(env, engine_id, software=None):
    entries = [
        {engine.id: engine.software for engine in gateway.fleet.engines()}
        for gateway in env.gateway_by_vm.values()
    ]
    return all(engine_id in each and software in (None, each[engine_id]) for each in entries)


def runs_at(env, *ids):
    """Return the streams that engines have run, as arrivals that are no prefills."""
    arrivals = [each for engine_id in ids for each in env.engine_by_id[engine_id].arrivals]
    return [each for each in arrivals if not each.is_prefill]


def resume_headers(resumes, last_event):
    headers = ((b"Last-Event-Id", str(last_event).encode()),)
    return (*headers, (b"Resumes", resumes.encode())) if resumes else headers


class Streams:
    """Slow streams of several callers, which take them up elsewhere when they break."""

    def __init__(self, env):
        self.env = env
        self._opened = {}
        for engine_id in ("dec-1", "dec-2"):
            env.engine_by_id[engine_id].pause = 0.3

    async def begin(self, count, vm="vm-1", path="/digest/a"):
        """Begin streams and wait for the first event of each."""
        for number in range(count):
            request_id = f"{vm}-{number}"
            opened = self.env.open(path, vm=vm, headers=model_headers(), request_id=request_id)
            exchange = await opened.__aenter__()
            await exchange.read_chunk()
            self._opened[request_id] = (opened, exchange)

    async def finish(self):
        """Read the rest of all streams; return the number of those that were whole."""
        whole = 0
        for opened, exchange in self._opened.values():
            whole += (await read_response(exchange)).is_whole
            await opened.__aexit__(None, None, None)
        return whole

    async def leave(self):
        """Close all connections of the callers."""
        for opened, _ in self._opened.values():
            await opened.__aexit__(None, None, None)
        return tuple(self._opened)


NEW = ("new-1", "new-2", "new-3")


async def test_streams_of_a_crashed_engine_go_on_at_their_version_only():
    """On the day second1 of huong-giang, 18 streams went on at another version."""
    async with rig() as env:
        streams = Streams(env)
        await streams.begin(6)
        await add_version(env, "v2", *NEW)
        busy = max(("dec-1", "dec-2"), key=lambda each: env.engine_by_id[each].running)
        env.engine_by_id[busy].crash()
        assert await streams.finish() == 6
        assert not runs_at(env, *NEW)


async def test_streams_taken_up_at_another_gateway_go_on_at_their_version_only():
    async with rig() as env:
        await env.add_gateway("vm-2")
        streams = Streams(env)
        await streams.begin(6)
        await add_version(env, "v2", *NEW)
        ids = await streams.leave()
        env._task_by_vm["vm-1"].cancel()
        for request_id in ids:
            headers = (*model_headers(), *resume_headers(request_id, 1))
            response = await env.send_request("/digest/a", vm="vm-2", headers=headers)
            assert (response.status, response.is_whole) == (200, True)
            assert response.body.startswith(b"id: 2")
        assert not runs_at(env, *NEW)
