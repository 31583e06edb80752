import itertools

import pytest

from pimentoquay.policy.engine_paths import PathLimits, PathTable, Reach, Verdict, judge
from pimentoquay.policy.tunnel_peers import AVOID_SECONDS, REFERRED_AFTER, PeerPlace, TunnelPeers

LIMITS = PathLimits(
    probe_seconds=0.5, return_seconds=1.0, longest_return_seconds=8.0, relapse_seconds=30.0
)


@pytest.mark.parametrize(
    ("direct", "peers", "other", "verdict"),
    [
        (Reach.OPEN, (Reach.REFUSED,), Reach.UNKNOWN, Verdict.REACHED),
        (Reach.REFUSED, (Reach.REFUSED, Reach.OPEN), Reach.OPEN, Verdict.CUT),
        (Reach.SILENT, (Reach.OPEN,), Reach.OPEN, Verdict.CUT),
        (Reach.REFUSED, (Reach.REFUSED,) * 2 + (Reach.UNKNOWN,), Reach.SILENT, Verdict.ENDED),
        (Reach.REFUSED, (Reach.REFUSED, Reach.UNKNOWN), Reach.OPEN, Verdict.UNKNOWN),
        (Reach.REFUSED, (Reach.REFUSED, Reach.SILENT), Reach.OPEN, Verdict.UNKNOWN),
        (Reach.REFUSED, (Reach.SILENT,), Reach.OPEN, Verdict.UNKNOWN),
        (Reach.REFUSED, (), Reach.OPEN, Verdict.ENDED),
        (Reach.REFUSED, (Reach.UNKNOWN,), Reach.OPEN, Verdict.UNKNOWN),
        (Reach.REFUSED, (), Reach.REFUSED, Verdict.UNKNOWN),
        (Reach.REFUSED, (Reach.UNKNOWN,), Reach.SILENT, Verdict.UNKNOWN),
        (Reach.SILENT, (Reach.REFUSED,), Reach.OPEN, Verdict.UNKNOWN),
        (Reach.UNKNOWN, (Reach.REFUSED,), Reach.OPEN, Verdict.ENDED),
        (Reach.UNKNOWN, (Reach.UNKNOWN,), Reach.OPEN, Verdict.UNKNOWN),
        (Reach.UNKNOWN, (), Reach.OPEN, Verdict.UNKNOWN),
    ],
)
def test_only_what_another_vm_sees_tells_a_cut_from_an_engine_that_ended(
    direct, peers, other, verdict
):
    assert judge(direct, peers, other) is verdict


def test_no_engine_is_judged_to_have_ended_that_anybody_reaches():
    for direct, one, other, elsewhere in itertools.product(Reach, repeat=4):
        if Reach.OPEN in (direct, one, other):
            assert judge(direct, (one, other), elsewhere) is not Verdict.ENDED


def test_a_path_is_used_again_after_it_has_worked_for_a_time():
    table = PathTable(LIMITS)
    assert table.record_cut("e", 0.0)
    assert not table.record_cut("e", 0.2)
    assert not table.record_probe("e", False, 0.5)
    assert not table.record_probe("e", True, 1.0)
    assert not table.record_probe("e", False, 1.5)
    assert not table.record_probe("e", True, 2.0)
    assert not table.record_probe("e", True, 2.5)
    assert table.is_cut("e")
    assert table.record_probe("e", True, 3.0)
    assert not table.is_cut("e")


def test_a_cut_that_comes_and_goes_is_left_less_and_less_often():
    """The link works for a second and is cut for the next one, for a minute."""
    table, returns, now = PathTable(LIMITS), 0, 0.0
    while now < 60.0:
        works = int(now) % 2 == 1
        if not table.is_cut("e") and not works:
            table.record_cut("e", now)
        if table.is_cut("e"):
            returns += table.record_probe("e", works, now)
        now += 0.25
    assert returns <= 1


def test_a_path_that_relapses_has_to_work_longer():
    table, now, waits = PathTable(LIMITS), 0.0, []
    for _ in range(5):
        table.record_cut("e", now)
        began = now
        while not table.record_probe("e", True, now):
            now += 0.5
        waits.append(now - began)
    assert waits == [1.0, 2.0, 4.0, 8.0, 8.0]
    now += LIMITS.relapse_seconds
    table.record_cut("e", now)
    table.record_probe("e", True, now)
    assert table.record_probe("e", True, now + 1.0)


def test_a_cut_path_that_works_again_may_be_used_if_there_is_no_other_way():
    table = PathTable(LIMITS)
    assert not table.has_no_way("e")
    table.record_cut("e", 0.0)
    assert table.has_no_way("e")
    assert not table.record_probe("e", True, 0.5)
    assert table.is_cut("e") and not table.has_no_way("e")
    table.record_probe("e", False, 0.9)
    assert table.has_no_way("e")


def test_probes_are_due_at_intervals_and_bounded():
    table = PathTable(LIMITS)
    for engine in "abc":
        table.record_cut(engine, 0.0)
    assert table.due_probes(0.4, 2) == ()
    assert table.due_probes(0.5, 2) == ("a", "b")
    assert table.due_probes(0.5, 2) == ("c",)
    table.forget_others(("a",))
    assert set(table.cut_engines) == {"a"}


def order(peers, places, now, engine="e"):
    """Return the peers in the order in which they are asked if none replies."""
    asked: list[str] = []
    while (peer := peers.choose(engine, "a", places, now, asked)) is not None:
        asked.append(peer)
    return asked


PLACES = {
    "a-1": PeerPlace("a", "a-1:1"),
    "a-2": PeerPlace("a", "a-2:1"),
    "b-1": PeerPlace("b", "b-1:1"),
    "c-1": PeerPlace("c", "c-1:1", is_heard=False),
}


def test_the_nearest_peer_is_asked_first_and_then_one_of_another_data_centre():
    asked = order(TunnelPeers("a-0", "a"), PLACES, 0.0)
    assert PLACES[asked[0]].data_centre == "a"
    assert PLACES[asked[1]].data_centre == "b"
    assert asked[-1] == "c-1"


def test_peers_of_a_data_centre_that_has_failed_are_asked_after_those_of_others():
    """On the load of 77 VMs with a data centre cut off, only its own VMs were asked."""
    places = {f"a-{number}": PeerPlace("a", f"{number}:1") for number in range(25)}
    places |= {f"b-{number}": PeerPlace("b", f"b{number}:1") for number in range(25)}
    peers = TunnelPeers("a-x", "a")
    first = order(peers, places, 0.0)[0]
    peers.record_failure(first, "e", 0.0)
    second = order(peers, places, 0.1)[0]
    assert (places[first].data_centre, places[second].data_centre) == ("a", "b")


def test_peers_that_failed_are_asked_last_for_a_time():
    peers = TunnelPeers("a-0", "a")
    first = order(peers, PLACES, 0.0, "e")[0]
    peers.record_failure(first, "e", 0.0)
    assert order(peers, PLACES, 0.1, "e")[-1] == first
    assert order(peers, PLACES, 0.1, "f")[-1] != first
    assert order(peers, PLACES, AVOID_SECONDS + 0.1, "e")[0] == first
    peers.record_failure(first, None, 2.0)
    assert order(peers, PLACES, 2.1, "f")[-1] == first


def test_a_peer_that_others_name_is_asked_before_those_of_which_nothing_is_known():
    peers = TunnelPeers("a-0", "a")
    assert order(peers, PLACES, 0.0, "e")[-1] == "c-1"
    peers.learn(("c-1",), 0.0)
    assert order(peers, PLACES, 0.1, "e")[REFERRED_AFTER] == "c-1"
    peers.record_failure("c-1", "e", 0.1)
    assert order(peers, PLACES, 0.2, "e")[-1] == "c-1"


def test_peers_that_opened_tunnels_lately_are_named_those_to_the_engine_first():
    peers = TunnelPeers("a-0", "a")
    assert peers.referrals("e", 0.1) == ()
    peers.record_opened("b-1", "e", 0.1)
    assert peers.referrals("e", 0.2) == ("b-1",)
    peers.record_opened("a-1", "f", 0.2)
    assert peers.referrals("e", 0.2) == ("b-1", "a-1")
    assert peers.referrals("f", 0.2) == ("a-1", "b-1")
    peers.record_failure("b-1", "e", 0.3)
    assert peers.referrals("e", 0.4) == ("a-1",)


def test_vms_that_are_cut_off_spread_over_those_that_are_not():
    places = {f"b-{number}": PeerPlace("b", f"{number}:1") for number in range(20)}
    first = [TunnelPeers(f"a-{number}", "a").choose("e", "a", places, 0.0) for number in range(60)]
    assert max(first.count(peer) for peer in places) <= 9
