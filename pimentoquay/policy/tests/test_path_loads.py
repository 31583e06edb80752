"""Gateways that are cut off from engines, under seeded loads of several sizes; in virtual time."""

from dataclasses import dataclass

import pytest

from pimentoquay.policy.engine_paths import PathLimits, PathTable
from pimentoquay.policy.tests.virtual_vms import EventQueue
from pimentoquay.policy.tunnel_peers import PeerPlace, TunnelPeers

QUIET, PROBE, STAGGER, SILENT_REPLY, REPLY = 0.15, 0.1, 0.03, 0.15, 0.006
MAX_PEERS, DEADLINE, ENGINES, DATA_CENTRES = 6, 1.0, 12, 3
CHECK_SECONDS, MISSES, KEPT_SECONDS = 1.0, 2, 5.0
"""Interval and number of failed readiness checks that take a VM out of rotation, and the mean time
for which a caller keeps its connection."""


def name_of(number):
    return f"vm-{number:03}"


@dataclass
class CutLoad(EventQueue):
    """Calls at VMs, some of which reach no engine for ten seconds.

    ``way`` is what such a VM does: ``alone`` it can only refuse, through ``peers`` it is served if
    one of those that it asks in time reaches an engine, and callers go ``elsewhere`` if it says
    that it is not ready. ``cut`` names the VMs that are cut off.
    """

    seed: int
    vms: int
    cut: str
    way: str = "peers"
    per_vm: float = 4.0
    seconds: float = 3.0
    asks: int = 0
    opened: int = 0

    def __post_init__(self):
        super().__init__(self.seed)
        self.names = [name_of(number) for number in range(self.vms)]
        self.data_centre = {
            name: f"dc-{number % DATA_CENTRES}" for number, name in enumerate(self.names)
        }
        self.cut_vms = set(self._choose_cut())
        self.places = {name: PeerPlace(self.data_centre[name], f"{name}:1") for name in self.names}
        self.peers = {name: TunnelPeers(name, self.data_centre[name]) for name in self.names}
        self.tables = {name: PathTable(PathLimits()) for name in self.names}
        self.suspected = {}
        self.carried = dict.fromkeys(self.names, 0)
        self.tries, self.served = 0, 0

    def _choose_cut(self):
        if self.cut == "two":
            return self.random.sample(self.names, 2)
        if self.cut == "data centre":
            return [name for name in self.names if self.data_centre[name] == "dc-0"]
        if self.cut == "half":
            return self.random.sample(self.names, self.vms // 2)
        return self.names[1:]

    def run(self):
        for name in sorted(self.cut_vms):
            now = 0.0
            while now < self.seconds:
                now += self.random.expovariate(self.per_vm)
                self.at(now, self.call, name)
        self.run_all()
        return self

    @property
    def share(self):
        """Share of the tries served that began a second or later after the cut."""
        return self.served / self.tries

    def call(self, name):
        counts = self.now >= 1.0
        self.tries += counts
        if self.way == "elsewhere":
            out = self.now > CHECK_SECONDS * MISSES
            stays = self.random.random() < 2.718281828 ** -((self.now - 2.0) / KEPT_SECONDS)
            half = 2 * sum(
                self.data_centre[each] == self.data_centre[name] for each in self.cut_vms
            ) > sum(each == self.data_centre[name] for each in self.data_centre.values())
            self.served += counts and out and not stays and not half
        if self.way != "peers":
            return
        engine = f"e-{self.random.randrange(ENGINES)}"
        table = self.tables[name]
        known_at = self.suspected.setdefault(name, self.now + QUIET + PROBE)
        if not table.is_cut(engine) and self.now < known_at:
            return  # The call is on a connection that hangs, and may not be sent again.
        table.record_cut(engine, self.now)
        took = self.open(name, engine)
        self.served += counts and took is not None and took < DEADLINE

    def open(self, name, engine):
        """Ask peers as the gateway does; return the time it took, or None if none opened."""
        peers, at, finished = self.peers[name], self.now, None
        asked: list[str] = []
        while len(asked) < MAX_PEERS and (finished is None or at < finished):
            peer = peers.choose(engine, "dc-0", self.places, at, asked)
            if peer is None:
                break
            asked.append(peer)
            self.asks += 1
            if peer not in self.cut_vms:
                finished = min(finished or at + REPLY, at + REPLY)
                peers.record_opened(peer, engine, at)
                self.carried[peer] += 1
                at += STAGGER
                continue
            is_known = self.suspected.get(peer, 1e9) <= at
            peers.record_failure(peer, engine, at)
            if is_known:
                peers.learn(self.peers[peer].referrals(engine, at), at)
                at += REPLY
            else:
                self.suspected.setdefault(peer, at + SILENT_REPLY)
                at += STAGGER
        self.opened += finished is not None
        return None if finished is None else finished - self.now


SIZES = (7, 77, 195)


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("cut", ["two", "data centre", "half"])
@pytest.mark.parametrize("seed", [1, 2])
def test_callers_are_served_through_peers_from_a_second_after_the_cut(vms, cut, seed):
    load = CutLoad(seed, vms, cut).run()
    assert load.share >= 0.98
    assert load.asks / load.opened <= 2.5


@pytest.mark.parametrize("vms", SIZES)
def test_the_one_vm_that_reaches_the_engines_is_found(vms):
    assert CutLoad(1, vms, "all but one").run().share >= 2 / 3


@pytest.mark.parametrize("vms", SIZES)
def test_the_one_vm_that_reaches_the_engines_is_found_by_sparse_calls(vms):
    assert CutLoad(1, vms, "all but one", per_vm=0.5).run().share >= 2 / 3


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("cut", ["data centre", "half"])
def test_the_work_for_others_is_spread(vms, cut):
    load = CutLoad(1, vms, cut).run()
    carried = [load.carried[name] for name in load.names if name not in load.cut_vms]
    assert max(carried) <= 6 * (sum(carried) / len(carried))


@pytest.mark.parametrize(("way", "most"), [("alone", 0.0), ("elsewhere", 0.5)])
def test_the_other_ways_serve_fewer(way, most):
    for cut in ("two", "data centre", "half"):
        assert CutLoad(1, 7, cut, way).run().share <= most
