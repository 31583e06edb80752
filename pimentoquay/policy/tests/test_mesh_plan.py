import pytest

from pimentoquay.policy.mesh_plan import FULL_MESH_VMS, MeshPlan, plan_mesh


def vms(count, data_centres=("hall", "port", "yard")):
    return {f"vm-{number}": data_centres[number % len(data_centres)] for number in range(count)}


def plans_of(known, reachable=None):
    reachable = set(known) if reachable is None else reachable
    return {vm: plan_mesh(vm, known, reachable) for vm in known if vm in reachable}


def neighbours_of(plans):
    """Return the peers of each VM, dialled by either end."""
    neighbours: dict[str, set[str]] = {vm: set() for vm in plans}
    for vm, plan in plans.items():
        for other in plan.dialled & set(plans):
            neighbours[vm].add(other)
            neighbours[other].add(vm)
    return neighbours


def count_copies(origin, plans):
    """Forward a message of one VM; return how many copies of it each VM receives."""
    neighbours = neighbours_of(plans)
    copies_by_vm = dict.fromkeys(plans, 0)
    seen = {origin}
    queue = [(origin, None)]
    while queue:
        vm, source = queue.pop(0)
        for target in neighbours[vm]:
            if plans[vm].should_forward(source, target):
                copies_by_vm[target] += 1
                if target not in seen:
                    seen.add(target)
                    queue.append((target, vm))
    return copies_by_vm


def test_few_vms_form_a_full_mesh_without_relays():
    known = vms(FULL_MESH_VMS)
    plan = plan_mesh("vm-0", known, known)
    assert plan.dialled == set(known) - {"vm-0"}
    assert plan.is_full
    assert not plan.should_forward("vm-1", "vm-2")


@pytest.mark.parametrize("count", [17, 30, 82, 300])
def test_message_of_each_vm_reaches_all_others_in_few_copies(count):
    plans = plans_of(vms(count))
    for origin in plans:
        copies_by_vm = count_copies(origin, plans)
        assert all(copies_by_vm[vm] for vm in plans if vm != origin)
        assert max(copies_by_vm.values()) <= 4


@pytest.mark.parametrize("count", [30, 82, 300])
def test_vms_have_two_channels_and_relays_a_bounded_number(count):
    plans = plans_of(vms(count))
    relays = next(iter(plans.values())).relays
    channels = {vm: len(each) for vm, each in neighbours_of(plans).items()}
    assert all(channels[vm] == 2 for vm in plans if vm not in relays)
    assert max(channels.values()) <= len(relays) + 32


@pytest.mark.parametrize("lost", [1, 5, 20])
def test_unreachable_relays_are_replaced(lost):
    known = vms(82)
    first = sorted(plan_mesh("vm-0", known, known).relays)[:lost]
    plans = plans_of(known, set(known) - set(first))
    copies_by_vm = count_copies("vm-0" if "vm-0" in plans else next(iter(plans)), plans)
    assert sum(not count for count in copies_by_vm.values()) <= 1


def test_both_sides_of_a_cut_keep_dialling_each_other():
    known = vms(82)
    vms_inside = {vm for vm, data_centre in known.items() if data_centre == "hall"}
    plans_inside, plans_outside = plans_of(known, vms_inside), plans_of(
        known, set(known) - vms_inside
    )
    assert any(plan.dialled - vms_inside for plan in plans_inside.values())
    assert any(plan.dialled & vms_inside for plan in plans_outside.values())
    assert all(
        count_copies(next(iter(plans_inside)), plans_inside)[vm] for vm in list(plans_inside)[1:]
    )


def test_own_messages_go_to_all_peers():
    assert MeshPlan(frozenset({"b"}), frozenset({"b"})).should_forward(None, "b")
