"""Leases and fencing under failures, in virtual time."""

import asyncio
import contextlib
import random

import pytest

from pimentoquay.kernel import Identity, LoopClock, Node, PimentoquayError
from pimentoquay.orders.leases import Leases
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.services.base import LogUnavailableError
from pimentoquay.standin.log import StandinLog
from pimentoquay.transport.memory import MemoryNetwork

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

SECTION = OrdersSection(lease=30.0, longest_pause=10.0, order_timeout=5.0, loads_at_once=2)
SHARD = "llm@d#0"


def leases(log, vm, incarnation=1):
    identity = Identity(vm, "control", "r", "d", incarnation)
    node = Node(identity, MemoryNetwork().transport(identity), LoopClock(0.0))
    return Leases(node, log, SECTION)


async def renew_for(holder, seconds):
    """Claim or renew every 2 s, as the orders part does, for the given seconds."""
    for _ in range(int(seconds / 2)):
        with contextlib.suppress(PimentoquayError):
            await holder.claim_or_renew(SHARD)
        await asyncio.sleep(2)


async def test_numbers_grow_with_each_holder_and_stay_over_renewals():
    log = StandinLog()
    first, second = leases(log, "a"), leases(log, "b")
    await first.claim_or_renew(SHARD)
    number = first.number_for(SHARD, True)
    await renew_for(first, 100)
    assert first.number_for(SHARD, True) == number > 0
    await second.claim_or_renew(SHARD)
    assert second.number_for(SHARD, True) > number


async def test_renewals_are_sparse_and_an_undisturbed_holder_reads_nothing():
    log = StandinLog()
    holder = leases(log, "a")
    await holder.claim_or_renew(SHARD)
    before = log.appends
    await renew_for(holder, 120)
    assert log.appends - before <= 11


async def test_deposed_holder_stops_at_its_next_renewal_and_does_not_take_it_back():
    log = StandinLog()
    first, second = leases(log, "a"), leases(log, "b")
    await first.claim_or_renew(SHARD)
    await second.claim_or_renew(SHARD)
    await asyncio.gather(renew_for(first, 60), renew_for(second, 60))
    assert first.number_for(SHARD, True) == 0
    assert second.number_for(SHARD, True) > 0


async def test_paused_holder_that_wakes_has_no_lease():
    log = StandinLog()
    holder = leases(log, "a")
    await holder.claim_or_renew(SHARD)
    assert holder.number_for(SHARD, True) > 0
    await asyncio.sleep(30)
    assert holder.number_for(SHARD, True) == 0


async def test_new_owner_of_engines_without_fencing_waits_for_the_last_possible_order():
    log = StandinLog()
    first, second = leases(log, "a"), leases(log, "b")
    await first.claim_or_renew(SHARD)
    await asyncio.sleep(5)
    await second.claim_or_renew(SHARD)
    assert second.number_for(SHARD, True) > 0
    await renew_for(second, 39)
    assert second.number_for(SHARD, False) == 0
    await renew_for(second, 6)
    assert second.number_for(SHARD, False) > 0


async def test_two_holders_before_the_new_one_are_both_waited_for():
    log = StandinLog()
    first, second, third = leases(log, "a"), leases(log, "b"), leases(log, "c")
    await first.claim_or_renew(SHARD)
    await second.claim_or_renew(SHARD)
    await second.give_up(SHARD)
    await third.claim_or_renew(SHARD)
    await renew_for(third, 40)
    assert third.number_for(SHARD, False) == 0
    await renew_for(third, 10)
    assert third.number_for(SHARD, False) > 0


async def test_after_a_given_up_lease_only_the_order_timeout_is_waited_for():
    log = StandinLog()
    first, second = leases(log, "a"), leases(log, "b")
    await first.claim_or_renew(SHARD)
    await first.give_up(SHARD)
    assert first.number_for(SHARD, True) == 0
    await second.claim_or_renew(SHARD)
    await asyncio.sleep(5)
    assert second.number_for(SHARD, False) > 0


async def test_lease_ends_and_is_not_claimed_while_the_log_is_down():
    log = StandinLog()
    holder = leases(log, "a")
    await holder.claim_or_renew(SHARD)
    log.outage(60)
    await renew_for(holder, 28)
    assert holder.number_for(SHARD, True) > 0
    await renew_for(holder, 4)
    assert holder.number_for(SHARD, True) == 0
    with pytest.raises(LogUnavailableError):
        await holder.claim_or_renew(SHARD)
    await asyncio.sleep(40)
    await holder.claim_or_renew(SHARD)
    assert holder.number_for(SHARD, False) > 0


async def test_claim_with_a_lost_response_is_found_on_the_log():
    log = StandinLog()
    holder = leases(log, "a")
    log.lose_next_answers(1)
    await holder.claim_or_renew(SHARD)
    assert holder.number_for(SHARD, True) == 1


async def test_places_for_loading_are_limited_over_all_vms():
    log = StandinLog()
    first, second = leases(log, "a"), leases(log, "b")
    assert await first.acquire_load_permit("e1", "d")
    assert await second.acquire_load_permit("e2", "d")
    assert not await second.acquire_load_permit("e3", "d")
    assert await second.acquire_load_permit("e4", "other")
    await first.release_load_permit("e1", "d")
    assert await second.acquire_load_permit("e3", "d")
    assert not await first.acquire_load_permit("e1", "d")


@pytest.mark.parametrize("seed", range(8))
async def test_orders_of_two_holders_never_overlap_without_fencing(seed):
    """Guards against orders of two VMs at the same time.

    The VMs may wrongly consider themselves owner, pause before they send, and see log outages,
    slow responses and lost responses.
    """
    rng = random.Random(seed)
    log = StandinLog()
    holders = {vm: leases(log, vm) for vm in "abc"}
    sent = []

    async def run(vm):
        while asyncio.get_running_loop().time() < 600:
            presumes_ownership = rng.random() < 0.6
            try:
                async with asyncio.timeout(3):
                    await (
                        holders[vm].claim_or_renew(SHARD)
                        if presumes_ownership
                        else holders[vm].give_up(SHARD)
                    )
            except (PimentoquayError, TimeoutError):
                pass
            number = holders[vm].number_for(SHARD, False)
            if number and presumes_ownership:
                if rng.random() < 0.2:
                    await asyncio.sleep(rng.uniform(0, 10))
                sent.append((asyncio.get_running_loop().time(), number, vm))
            await asyncio.sleep(rng.choice((1, 2, 2, 20, 45)))

    async def faults():
        for _ in range(20):
            await asyncio.sleep(rng.uniform(0, 30))
            rng.choice(
                (
                    lambda: log.outage(rng.uniform(0, 40)),
                    lambda: log.slow(rng.uniform(0, 4), rng.uniform(0, 20)),
                    lambda: log.lose_next_answers(2),
                )
            )()

    await asyncio.gather(faults(), *(run(vm) for vm in holders))
    numbers = [number for _, number, _ in sorted(sent)]
    assert numbers == sorted(numbers)
    assert len(sent) >= 5


@pytest.mark.parametrize("claims_before", [1, 5])
async def test_numbers_go_on_growing_on_a_log_that_started_anew(claims_before):
    log = StandinLog()
    others = [leases(log, f"b{number}") for number in range(claims_before)]
    for other in others:
        await other.claim_or_renew(SHARD)
    old = others[-1].number_for(SHARD, True)
    log.erase_records()
    await renew_for(others[-1], 20)
    assert others[-1].number_for(SHARD, True) > old


async def test_process_that_never_read_the_old_log_counts_above_numbers_seen_by_engines():
    log = StandinLog()
    holder = leases(log, "a")
    await holder.claim_or_renew(SHARD)
    assert holder.number_for(SHARD, True) == 1
    holder.record_number(40)
    await holder.claim_or_renew(SHARD)
    assert holder.number_for(SHARD, True) > 40
    follower = leases(log, "b")
    await follower.claim_or_renew(SHARD)
    assert follower.number_for(SHARD, True) > holder.number_for(SHARD, True)


async def test_former_holder_does_not_reclaim_a_shard_after_engines_saw_a_higher_number():
    log = StandinLog()
    first, second = leases(log, "a"), leases(log, "b")
    await first.claim_or_renew(SHARD)
    await second.claim_or_renew(SHARD)
    first.record_number(second.number_for(SHARD, True))
    await renew_for(first, 5)
    assert first.number_for(SHARD, True) == 0
    assert second.number_for(SHARD, True) > 0


async def test_orders_without_fencing_wait_after_the_log_was_reset():
    log = StandinLog()
    first, second = leases(log, "a"), leases(log, "b")
    await first.claim_or_renew(SHARD)
    await second.acquire_load_permit("e", "d")
    log.erase_records()
    await second.claim_or_renew(SHARD)
    assert second.number_for(SHARD, True) > first.number_for(SHARD, True)
    assert second.number_for(SHARD, False) == 0
    await renew_for(second, 44)
    assert second.number_for(SHARD, False) == 0
    await renew_for(second, 2)
    assert second.number_for(SHARD, False) > 0
