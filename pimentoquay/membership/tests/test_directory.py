"""Updates of the membership list and the responses to peers that lag."""

from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.membership.directory import MemberDirectory
from pimentoquay.membership.tests.conftest import engine_member, vm_member
from pimentoquay.messages.cluster import MembershipUpdate, MemberState

names = st.sets(st.sampled_from([f"m{n}" for n in range(8)]))


def listed(version, live, leaving=()):
    """Return a list of live VMs and leaving engines."""
    members = [vm_member(name, "d") for name in live]
    members += [engine_member(f"e-{name}", "d", MemberState.LEAVING) for name in leaving]
    return MembershipUpdate(version, tuple(members))


@given(st.lists(st.tuples(names, names), min_size=1, max_size=8), st.integers(0, 8))
def test_peer_behind_by_any_number_of_versions_catches_up(lists, behind):
    ahead, peer = MemberDirectory(), MemberDirectory()
    for version, (live, leaving) in enumerate(lists):
        ahead.apply_update(listed(version, live, leaving))
        if version < behind:
            peer.apply_update(listed(version, live, leaving))
    answer = ahead.answer_for(peer.version)
    if answer is None:
        assert peer.version == ahead.version
    elif isinstance(answer, MembershipUpdate):
        assert peer.apply_update(answer) is not None
    else:
        assert peer.apply_delta(answer)
    assert peer.member_by_name == ahead.member_by_name
    assert peer.vms_by_data_centre == ahead.vms_by_data_centre


def test_older_list_and_change_with_another_base_are_ignored():
    directory = MemberDirectory()
    directory.apply_update(listed(5, {"m1"}))
    assert directory.apply_update(listed(4, {"m2"})) is None
    other = MemberDirectory()
    other.apply_update(listed(3, {"m2"}))
    delta = other.apply_update(listed(9, {"m3"}))
    assert delta is not None
    assert not directory.apply_delta(delta)
    assert set(directory.member_by_name) == {"m1"}
