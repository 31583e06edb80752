"""A VM that restarts without stored data must not go back to an older configuration.

It can do so only if the newer one is neither on a reachable peer nor on a reachable log.
"""

import asyncio

import pytest

from pimentoquay.configuration.tests.cluster import ClusterFake
from pimentoquay.configuration.tests.samples import change
from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.entry.configuration_feed import ConfigurationFeed
from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.transport.peers import PeerSet

pytestmark = pytest.mark.looptime(start=0)


@pytest.fixture
async def cluster():
    cluster_fake = ClusterFake()
    yield cluster_fake
    await cluster_fake.close()


async def lagging_a3(cluster):
    """Start all VMs, let only a3 miss a change, and take the log down."""
    await cluster.start()
    await asyncio.sleep(5)
    base = await cluster.accept("a1", change("first", "hall", 0, 1))
    await asyncio.sleep(3)
    for vm in ("a1", "a2", "b1", "b2", "c1"):
        cluster.network.cut("a3", vm)
    cluster.control_by_vm["a3"].port.is_cut = True
    await asyncio.sleep(1)
    await cluster.accept("a1", change("second", "hall", base, 2))
    await asyncio.sleep(3)
    cluster.log.outage(600)


async def test_vm_waits_for_listed_peers_before_it_uses_a_lagging_one(cluster):
    await lagging_a3(cluster)
    await cluster.stop("a1")
    cluster.network.heal("a1", "a3")
    cluster.network.cut("a1", "a2")
    for vm in ("b1", "b2", "c1"):
        cluster.network.cut("a1", vm)
    await cluster.start("a1")
    await asyncio.sleep(1)
    cluster.network.heal("a1", "a2")
    await asyncio.sleep(6)
    cluster.check_no_rollback()
    assert cluster.weights("hall")["a1"] == 2


async def test_vm_uses_a_lagging_peer_if_no_other_is_reachable(cluster):
    await lagging_a3(cluster)
    cluster.check_no_rollback()
    await cluster.stop("a1")
    cluster.highest_offset_by_vm.clear()
    cluster.network.heal("a1", "a3")
    for vm in ("a2", "b1", "b2", "c1"):
        cluster.network.cut("a1", vm)
    await cluster.start("a1")
    await asyncio.sleep(6)
    assert cluster.weights("hall")["a1"] == 1
    cluster.network.heal("a1", "a2")
    await asyncio.sleep(6)
    assert cluster.weights("hall")["a1"] == 2


async def test_control_process_is_not_ready_below_the_offset_of_its_entry(cluster):
    await lagging_a3(cluster)
    entry = Node(
        Identity("a1", "entry", "r", "a", 1),
        cluster.network.transport(Identity("a1", "entry", "r", "a", 1)),
        LoopClock(0.0),
    )
    peers, view = PeerSet(entry), ConfigurationView()
    peers.set_targets({"a1": "a1:1"})
    running = asyncio.create_task(entry.run((ConfigurationFeed(entry, view),)))
    await asyncio.sleep(2)
    served = view.offset
    assert served >= 2
    await cluster.stop("a1")
    cluster.network.heal("a1", "a3")
    for vm in ("a2", "b1", "b2", "c1"):
        cluster.network.cut("a1", vm)
    await cluster.start("a1")
    await asyncio.sleep(10)
    assert cluster.control_by_vm["a1"].events() == []
    assert view.offset == served
    cluster.network.heal("a1", "a2")
    await asyncio.sleep(6)
    assert cluster.weights("hall")["a1"] == 2
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    await peers.close()
