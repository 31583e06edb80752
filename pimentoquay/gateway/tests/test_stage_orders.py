from pimentoquay.gateway.stage_orders import WANTED_SECONDS
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import StoreFault


async def add_spare_prefill_engines(made):
    """Make it four that prefill and two that decode; two of the four are too many."""
    for number in (2, 3, 4):
        await made.add_engine(PlatformEngine(f"pre-{number}", "llm", stage="prefill"))


def ordered(made):
    return [(name, order) for name, engine in made.engine_by_id.items() for order in engine.orders]


async def test_prefill_engines_too_many_are_told_to_decode_once_each():
    """Before any request the two that are too many change together."""
    async with rig() as made:
        await add_spare_prefill_engines(made)
        await until(lambda: len(ordered(made)) == 2, "two orders")
        orders = dict(ordered(made))
        assert len(orders) == 2 and all(name.startswith("pre-") for name in orders)
        assert sorted(order["fence"] for order in orders.values()) == [1, 2]
        for order in orders.values():
            assert order | {"fence": 0} == {
                "op": "stage",
                "stage": "decode",
                "holder": "vm-1",
                "fence": 0,
            }
        sharing = made.gateway_by_vm["vm-1"].orders._sharing
        await until(lambda: set(orders) <= set(sharing.changing_until_by_engine), "left alone")
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 6, "checked again")
        assert len(ordered(made)) == 2


async def test_one_engine_changes_at_a_time_while_requests_run():
    async with rig() as made:
        sharing = made.gateway_by_vm["vm-1"].orders._sharing
        sharing.running.take("dec-1", GrowingRun(1000, 0), 0.0)
        await add_spare_prefill_engines(made)
        await until(lambda: ordered(made), "an order")
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 6, "checked again")
        assert len(ordered(made)) == 1


async def test_no_order_is_given_while_the_store_does_not_take_the_claim():
    async with rig() as made:
        made.store.fault = StoreFault.LOST
        await add_spare_prefill_engines(made)
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 8, "tried")
        assert ordered(made) == []


async def test_another_holder_is_waited_for():
    async with rig(start_gateway=False) as made:
        await made.store.put("keyed.pimentoquay-orders", "holder", b"vm-0")
        await add_spare_prefill_engines(made)
        gateway = await made.add_gateway()
        await until(lambda: gateway.orders._claim is not None, "claimed")
        claim = gateway.orders._claim
        assert claim is not None and claim.fence == 1
        assert claim.may_order_at >= gateway.node.timers.now() + 3.0
        assert ordered(made) == []


async def test_the_claim_is_made_while_a_change_has_to_last():
    """After all gateways had been killed, the lease of the holder before was waited for only once
    a change had lasted, and decode engines read all prompts for three seconds more."""
    async with rig(start_gateway=False) as made:
        await made.store.put("keyed.pimentoquay-orders", "holder", b"vm-0")
        await add_spare_prefill_engines(made)
        gateway = await made.add_gateway()
        await until(lambda: gateway.orders._claim is not None, "claimed")
        claim, wanted_since = gateway.orders._claim, gateway.orders._wanted_by_service["llm"][1]
        assert claim is not None and claim.may_order_at - wanted_since < WANTED_SECONDS + 3.0


async def test_a_replaced_holder_gives_no_further_order():
    async with rig() as made:
        await add_spare_prefill_engines(made)
        await until(lambda: ordered(made), "an order")
        orders = made.gateway_by_vm["vm-1"].orders
        await made.store.put("keyed.pimentoquay-orders", "holder", b"vm-2")
        assert not await orders._renew_claim()
        assert orders._claim is None
