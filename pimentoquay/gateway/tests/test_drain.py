import asyncio

from pimentoquay.gateway.tests.rig import model_headers, read_response, rig, until


async def test_a_stream_in_progress_is_finished_and_readiness_ends_at_once():
    async with rig() as env:
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.05
        gateway = env.gateway_by_vm["vm-1"]
        async with env.open("/digest/a", headers=model_headers()) as exchange:
            task = env.stop()
            await until(lambda: not gateway.dispatcher.is_ready, "not ready")
            assert (await env.send_request("/look/a")).headers["connection"] == "close"
            response = await read_response(exchange)
            assert response.is_whole
        async with asyncio.timeout(20):
            await task
