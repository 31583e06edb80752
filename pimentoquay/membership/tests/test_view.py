"""Changes between cluster views and their application."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.membership.tests.conftest import engine_member, vm_member
from pimentoquay.membership.view import changed_view, view_change
from pimentoquay.messages import decode, encode
from pimentoquay.messages.cluster import ClusterView, MemberState

names = st.sets(st.sampled_from([f"m{n}" for n in range(8)]))


def view_of(version, vms, leaving, live, reachable):
    """Return a view of VMs and leaving engines."""
    members = [vm_member(name, "d") for name in vms]
    members += [engine_member(f"e-{name}", "d", MemberState.LEAVING) for name in leaving]
    members.sort(key=lambda member: member.name)
    return ClusterView(version, tuple(members), tuple(sorted(live)), tuple(sorted(reachable)))


@given(st.lists(st.tuples(names, names, names, names), min_size=2, max_size=6))
def test_view_rebuilt_from_changes_equals_the_whole_view(steps):
    views = [view_of(version, *step) for version, step in enumerate(steps)]
    incremental_view = views[0]
    for before, after in pairwise(views):
        incremental_view = changed_view(
            incremental_view, decode(encode(view_change(before, after)))
        )
        assert incremental_view == after


def test_change_of_another_view_is_rejected():
    views = [view_of(version, {"m1"}, (), (), ()) for version in range(3)]
    with pytest.raises(ValueError, match="does not fit view 0"):
        changed_view(views[0], view_change(views[1], views[2]))
