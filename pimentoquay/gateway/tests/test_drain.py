import asyncio

from pimentoquay.gateway.tests.rig import model_headers, read_answer, rig, until


async def test_a_stream_in_progress_is_finished_and_readiness_ends_at_once():
    async with rig() as made:
        for name in ("dec-1", "dec-2"):
            made.engine_by_id[name].pause = 0.05
        gateway = made.gateway_by_vm["vm-1"]
        async with made.open("/digest/a", headers=model_headers()) as exchange:
            task = made.stop()
            await until(lambda: not gateway.front.is_ready, "not ready")
            assert (await made.ask("/look/a")).headers["connection"] == "close"
            answer = await read_answer(exchange)
            assert answer.is_whole
        async with asyncio.timeout(20):
            await task
