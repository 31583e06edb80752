import pytest

from pimentoquay.policy.mesh_plan import FULL_MESH_VMS, MeshPlan, plan_mesh


def vms(count, data_centres=("hall", "port", "yard")):
    return {f"vm-{number}": data_centres[number % len(data_centres)] for number in range(count)}


def plans_of(known, reachable=None):
    reachable = set(known) if reachable is None else reachable
    return {vm: plan_mesh(vm, known, reachable) for vm in known if vm in reachable}


def neighbours_of(plans):
    """Return the channels that the plans make, by VM; both ends use a channel."""
    neighbours: dict[str, set[str]] = {vm: set() for vm in plans}
    for vm, plan in plans.items():
        for other in plan.dialled & set(plans):
            neighbours[vm].add(other)
            neighbours[other].add(vm)
    return neighbours


def reached_from(origin, plans):
    """Spread news of one VM by the plans; return how often each VM gets it."""
    neighbours = neighbours_of(plans)
    times = dict.fromkeys(plans, 0)
    seen = {origin}
    queue = [(origin, None)]
    while queue:
        vm, source = queue.pop(0)
        for target in neighbours[vm]:
            if plans[vm].passes_on(source, target):
                times[target] += 1
                if target not in seen:
                    seen.add(target)
                    queue.append((target, vm))
    return times


def test_few_vms_keep_channels_to_all_others_and_relay_nothing():
    known = vms(FULL_MESH_VMS)
    plan = plan_mesh("vm-0", known, known)
    assert plan.dialled == set(known) - {"vm-0"}
    assert plan.is_full
    assert not plan.passes_on("vm-1", "vm-2")


@pytest.mark.parametrize("count", [17, 30, 82, 300])
def test_news_of_each_vm_reaches_all_and_few_get_it_often(count):
    plans = plans_of(vms(count))
    for origin in plans:
        times = reached_from(origin, plans)
        assert all(times[vm] for vm in plans if vm != origin)
        assert max(times.values()) <= 4


@pytest.mark.parametrize("count", [30, 82, 300])
def test_most_vms_have_two_channels_and_relays_a_bounded_share(count):
    plans = plans_of(vms(count))
    relays = next(iter(plans.values())).relays
    channels = {vm: len(each) for vm, each in neighbours_of(plans).items()}
    assert all(channels[vm] == 2 for vm in plans if vm not in relays)
    assert max(channels.values()) <= len(relays) + 32


@pytest.mark.parametrize("lost", [1, 5, 20])
def test_vms_that_are_not_heard_are_passed_over(lost):
    known = vms(82)
    first = sorted(plan_mesh("vm-0", known, known).relays)[:lost]
    plans = plans_of(known, set(known) - set(first))
    times = reached_from("vm-0" if "vm-0" in plans else next(iter(plans)), plans)
    assert sum(not count for count in times.values()) <= 1


def test_both_sides_of_a_cut_go_on_dialling_each_other():
    known = vms(82)
    side = {vm for vm, data_centre in known.items() if data_centre == "hall"}
    near, far = plans_of(known, side), plans_of(known, set(known) - side)
    assert any(plan.dialled - side for plan in near.values())
    assert any(plan.dialled & side for plan in far.values())
    assert all(reached_from(next(iter(near)), near)[vm] for vm in list(near)[1:])


def test_news_of_this_vm_goes_to_everybody():
    assert MeshPlan(frozenset({"b"}), frozenset({"b"})).passes_on(None, "b")
