"""A VM that restarts without disks serves by nothing older than it did, as far as it can know."""

import asyncio

import pytest

from pimentoquay.configuration.tests.cluster import ClusterFake
from pimentoquay.configuration.tests.samples import change
from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.entry.feed import ConfigurationFeed
from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.transport.peers import PeerSet

pytestmark = pytest.mark.looptime(start=0)


@pytest.fixture
async def cluster():
    made = ClusterFake()
    yield made
    await made.close()


async def lagging_a3(cluster):
    """Start all, then let a3 miss a change; return when only a3 lacks it and the log is down."""
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


async def test_vm_waits_for_listed_peers_before_it_serves_by_one_that_lags(cluster):
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
    cluster.check_never_back()
    assert cluster.weights("hall")["a1"] == 2


async def test_vm_serves_by_a_lagging_peer_if_nobody_else_can_be_heard(cluster):
    await lagging_a3(cluster)
    cluster.check_never_back()
    await cluster.stop("a1")
    cluster.highest_by_vm.clear()
    cluster.network.heal("a1", "a3")
    for vm in ("a2", "b1", "b2", "c1"):
        cluster.network.cut("a1", vm)
    await cluster.start("a1")
    await asyncio.sleep(6)
    assert cluster.weights("hall")["a1"] == 1
    cluster.network.heal("a1", "a2")
    await asyncio.sleep(6)
    assert cluster.weights("hall")["a1"] == 2


async def test_control_process_is_not_ready_below_what_its_entry_serves_by(cluster):
    await lagging_a3(cluster)
    entry = Node(
        Identity("a1", "entry", "r", "a", 1),
        cluster.network.transport(Identity("a1", "entry", "r", "a", 1)),
        LoopClock(0.0),
    )
    peers, view = PeerSet(entry), ConfigurationView()
    peers.want({"a1": "a1:1"})
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
