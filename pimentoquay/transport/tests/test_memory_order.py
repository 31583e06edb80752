import asyncio

import pytest

from pimentoquay.kernel import Identity
from pimentoquay.messages.placement import LeaseRenewal
from pimentoquay.transport.memory import MemoryNetwork

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


async def test_messages_sent_at_the_same_instant_arrive_in_order():
    network = MemoryNetwork()
    near = network.transport(Identity("a", "control", "r", "d", 1))
    far = network.transport(Identity("b", "control", "r", "d", 2))
    arrived = []

    async def accept(channel):
        while len(arrived) < 50:
            arrived.append((await channel.receive()).sequence)

    await far.listen("b:1", accept)
    channel = await near.connect("b:1")
    for sequence in range(50):
        channel.send(LeaseRenewal(sequence))
    await asyncio.sleep(1)
    assert arrived == list(range(50))
