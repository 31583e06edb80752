"""Claims of idempotency keys under failures, in virtual time."""

import asyncio
import random

import pytest

from pimentoquay.kernel import ResultCode
from pimentoquay.services.base import LogUnavailableError

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


async def test_second_claim_is_refused_with_the_outcome_of_the_first(keys):
    entry = keys.entry()
    first, code = await entry.claim("a")
    assert code is ResultCode.OK
    assert (await entry.claim("a"))[1] is ResultCode.KEY_IN_USE
    entry.report("a", first, ResultCode.OK)
    await asyncio.sleep(2)
    assert (await entry.claim("a"))[1] is ResultCode.KEY_ALREADY_RUN


async def test_not_run_outcome_frees_the_key(keys):
    entry = keys.entry()
    first, _ = await entry.claim("a")
    entry.report("a", first, ResultCode.NO_BACKEND)
    await asyncio.sleep(2)
    assert (await entry.claim("a"))[1] is ResultCode.OK


async def test_outcome_of_a_refused_claim_does_not_free_the_key(keys):
    entry = keys.entry()
    await entry.claim("a")
    second, _ = await entry.claim("a")
    entry.report("a", second, ResultCode.NO_BACKEND)
    await asyncio.sleep(2)
    assert (await entry.claim("a"))[1] is ResultCode.KEY_IN_USE


async def test_two_owners_at_once_grant_a_key_once(keys):
    codes = []
    for number in range(50):
        entry = keys.entry(f"entry-{number}")
        claims = [entry.claim(vm, key=f"k{number}") for vm in ("a", "b")]
        codes.append(sorted(code for _, code in await asyncio.gather(*claims)))
    assert codes == [[ResultCode.OK, ResultCode.KEY_IN_USE]] * 50


async def test_new_owner_knows_the_grants_of_a_dead_owner(keys):
    entry = keys.entry()
    assert (await entry.claim("a"))[1] is ResultCode.OK
    await keys.stop("a")
    assert (await entry.claim("b"))[1] is ResultCode.KEY_IN_USE


async def test_a_key_is_known_after_all_vms_are_replaced(keys):
    entry = keys.entry()
    first, _ = await entry.claim("a")
    entry.report("a", first, ResultCode.OK)
    await asyncio.sleep(2)
    await keys.stop("a")
    await keys.stop("b")
    await keys.start("c")
    assert (await entry.claim("c"))[1] is ResultCode.KEY_ALREADY_RUN


async def test_claim_is_refused_as_not_run_at_once_while_the_log_is_down(keys):
    keys.log.outage(10)
    entry = keys.entry()
    started = asyncio.get_running_loop().time()
    assert (await entry.claim("a"))[1] is ResultCode.KEY_UNAVAILABLE
    assert asyncio.get_running_loop().time() - started < 0.5
    await asyncio.sleep(11)
    assert (await entry.claim("a"))[1] is ResultCode.OK


async def test_claim_is_refused_within_the_timeout_while_the_log_is_slow(keys):
    keys.log.slow(30, 40)
    entry = keys.entry()
    started = asyncio.get_running_loop().time()
    assert (await entry.claim("a"))[1] is ResultCode.KEY_UNAVAILABLE
    assert asyncio.get_running_loop().time() - started < 2.1


async def test_lost_answer_of_an_append_still_grants_the_claim(keys):
    keys.log.lose_next_answers(1)
    entry = keys.entry()
    assert (await entry.claim("a"))[1] is ResultCode.OK
    assert (await entry.claim("b"))[1] is ResultCode.KEY_IN_USE


class LostAndDownLog:
    """Log that stores an append, loses the response and is then down."""

    def __init__(self, log):
        self.log = log
        self.is_armed = True

    async def append(self, stream, data):
        if self.is_armed:
            self.log.lose_next_answers(1)
        return await self.log.append(stream, data)

    async def read(self, stream, from_offset, wait):
        if self.is_armed:
            raise LogUnavailableError("down")
        return await self.log.read(stream, from_offset, wait)


async def test_claim_refused_though_the_log_took_it_is_freed_later(keys):
    log = LostAndDownLog(keys.log)
    await keys.start("c", log)
    entry = keys.entry()
    assert (await entry.claim("c"))[1] is ResultCode.KEY_UNAVAILABLE
    log.is_armed = False
    assert (await entry.claim("c"))[1] is ResultCode.KEY_IN_USE
    await asyncio.sleep(3)
    assert (await entry.claim("b"))[1] is ResultCode.OK


class PausedLog:
    """Log that holds back append responses until ``resume_event``, as a paused process sees it."""

    def __init__(self, log):
        self.log = log
        self.resume_event = asyncio.Event()

    async def append(self, stream, data):
        offset = await self.log.append(stream, data)
        await self.resume_event.wait()
        return offset

    async def read(self, stream, from_offset, wait):
        return await self.log.read(stream, from_offset, wait)


async def test_resumed_former_owner_does_not_grant_a_held_key(keys):
    log = PausedLog(keys.log)
    await keys.start("c", log)
    entry = keys.entry()
    assert (await entry.claim("b", key="k"))[1] is ResultCode.OK
    late = asyncio.create_task(entry.claim("c", key="k"))
    await asyncio.sleep(1)
    log.resume_event.set()
    assert (await late)[1] is ResultCode.KEY_IN_USE


async def test_appends_are_batched_under_load(keys):
    entry = keys.entry()
    before = keys.log.appends
    claims = [entry.claim("a", key=f"k{n}") for n in range(1000)]
    codes = [code for _, code in await asyncio.gather(*claims)]
    assert set(codes) == {ResultCode.OK}
    assert keys.log.appends - before <= 64


@pytest.mark.parametrize("seed", range(12))
async def test_random_faults_never_cause_a_held_key_to_be_granted(keys, seed):
    rng = random.Random(seed)
    entry = keys.entry()
    holder_by_key = {}
    grants = 0

    async def run_claim(number):
        nonlocal grants
        await asyncio.sleep(rng.uniform(0, 60))
        key, vm = f"k{rng.randrange(8)}", rng.choice(("a", "b"))
        claim_id, code = await entry.claim(vm, key=key)
        if code is not ResultCode.OK:
            if code is ResultCode.KEY_UNAVAILABLE:
                entry.report(vm, claim_id, code, key=key)
            return
        assert key not in holder_by_key, f"{key} granted to {claim_id} and {holder_by_key[key]}"
        grants += 1
        holder_by_key[key] = claim_id
        await asyncio.sleep(rng.uniform(0, 3))
        if rng.random() < 0.7:
            del holder_by_key[key]
            entry.report(vm, claim_id, ResultCode.NO_BACKEND, key=key)

    async def faults():
        for _ in range(12):
            await asyncio.sleep(rng.uniform(0, 8))
            fault = rng.randrange(4)
            if fault == 0:
                keys.log.outage(rng.uniform(0, 4))
            elif fault == 1:
                keys.log.slow(rng.uniform(0, 4), rng.uniform(0, 6))
            elif fault == 2:
                keys.log.lose_next_answers(rng.randrange(1, 4))
            else:
                keys.network.set_delay("entry-1", "a", rng.uniform(0, 1))

    await asyncio.gather(faults(), *(run_claim(number) for number in range(150)))
    assert grants >= 8
