import asyncio

import pytest

from pimentoquay.gateway.stage_controller import MIN_WANTED_SECONDS
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.order_holder import VmState, order_holder
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import StoreFault
from pimentoquay.standin.virtual_links import Cut


async def add_spare_prefill_engines(env):
    """Add three prefill engines, which makes four for two decode engines; two are surplus."""
    for number in (2, 3, 4):
        await env.add_engine(PlatformEngine(f"pre-{number}", "llm", stage="prefill"))


def ordered(env):
    return [(name, order) for name, engine in env.engine_by_id.items() for order in engine.orders]


async def test_each_surplus_prefill_engine_is_ordered_once_to_decode():
    """Both surplus engines may change at the same time, because no request is running."""
    async with rig() as env:
        await add_spare_prefill_engines(env)
        await until(lambda: len(ordered(env)) == 2, "two orders")
        orders = dict(ordered(env))
        assert len(orders) == 2 and all(name.startswith("pre-") for name in orders)
        assert sorted(order["fence"] for order in orders.values()) == [1, 2]
        for order in orders.values():
            assert order | {"fence": 0} == {
                "op": "stage",
                "stage": "decode",
                "holder": "vm-1",
                "fence": 0,
            }
        shared = env.gateway_by_vm["vm-1"].stage_controller._shared
        await until(lambda: set(orders) <= set(shared.changing_until_by_engine), "left alone")
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 6, "checked again")
        assert len(ordered(env)) == 2


async def test_one_engine_changes_at_a_time_while_requests_run():
    async with rig() as env:
        shared = env.gateway_by_vm["vm-1"].stage_controller._shared
        shared.run_ledger.take("dec-1", GrowingRun(1000, 0), 0.0)
        await add_spare_prefill_engines(env)
        await until(lambda: ordered(env), "an order")
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 6, "checked again")
        assert len(ordered(env)) == 1


async def test_no_order_is_sent_while_the_store_does_not_confirm_the_claim():
    async with rig() as env:
        env.store.fault = StoreFault.LOST
        await add_spare_prefill_engines(env)
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 8, "tried")
        assert ordered(env) == []


async def test_a_new_holder_waits_for_the_lease_of_the_previous_one():
    async with rig(start_gateway=False) as env:
        await env.store.put("keyed.pimentoquay-orders", "holder", b"vm-0")
        await add_spare_prefill_engines(env)
        gateway = await env.add_gateway()
        await until(lambda: gateway.stage_controller._claim is not None, "claimed")
        claim = gateway.stage_controller._claim
        assert claim is not None and claim.fence == 1
        assert claim.may_order_at >= gateway.node.timers.now() + 3.0
        assert ordered(env) == []


async def test_the_claim_is_made_before_the_change_has_lasted():
    """After all gateways had been killed, the wait for the previous holder's lease began only once
    the change had lasted, so decode engines had to prefill all prompts for three seconds longer."""
    async with rig(start_gateway=False) as env:
        await env.store.put("keyed.pimentoquay-orders", "holder", b"vm-0")
        await add_spare_prefill_engines(env)
        gateway = await env.add_gateway()
        await until(lambda: gateway.stage_controller._claim is not None, "claimed")
        claim, wanted_since = (
            gateway.stage_controller._claim,
            gateway.stage_controller._wanted_by_service["llm"][1],
        )
        assert claim is not None and claim.may_order_at - wanted_since < MIN_WANTED_SECONDS + 3.0


async def test_a_replaced_holder_sends_no_further_order():
    async with rig() as env:
        await add_spare_prefill_engines(env)
        await until(lambda: ordered(env), "an order")
        controller = env.gateway_by_vm["vm-1"].stage_controller
        await env.store.put("keyed.pimentoquay-orders", "holder", b"vm-2")
        assert not await controller._renew_claim()
        assert controller._claim is None


@pytest.mark.parametrize("how", [Cut.SILENT, Cut.REFUSED])
async def test_a_holder_that_is_cut_off_hands_its_role_to_one_that_reaches_the_engines(how):
    """An order must come from its holder, so it can take no other way."""
    async with rig() as env:
        await env.add_gateway("vm-2")
        first, second = (env.gateway_by_vm[vm] for vm in ("vm-1", "vm-2"))
        await until(lambda: first.mesh.may_order() and not second.mesh.may_order(), "first")
        env.links.cut("vm-1", how)
        cut_at = asyncio.get_running_loop().time()
        sending = asyncio.create_task(env.stream())
        await until(lambda: second.mesh.may_order() and not first.mesh.may_order(), "second")
        assert asyncio.get_running_loop().time() - cut_at < 1.0
        await add_spare_prefill_engines(env)
        await until(lambda: ordered(env), "an order")
        assert {order["holder"] for _, order in ordered(env)} == {"vm-2"}
        await sending
        env.links.heal("vm-1")
        await until(first.mesh.may_order, "the first again")


def test_a_vm_that_neither_stops_nor_is_cut_off_holds_the_role():
    draining, cut_off, able = VmState(is_draining=True), VmState(is_cut_off=True), VmState()
    assert order_holder({"a": draining, "b": cut_off, "c": able, "d": able}) == "c"
    assert order_holder({"a": draining, "b": cut_off}) == "b"
    assert order_holder({"a": draining}) is None
