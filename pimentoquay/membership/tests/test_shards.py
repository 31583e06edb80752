"""Division of pools into shards: small pools by region, large ones by data centre."""

from pimentoquay.kernel import Identity
from pimentoquay.membership import MAX_SHARD_ENGINES, shard_owner, shards_of
from pimentoquay.messages.cluster import Member, MemberKind, MemberState

DATA_CENTRES = ("city-hall", "san-juan", "arima-hall")


def member(name, kind, location, pool=""):
    """Return a live member in a data centre of region ``tt-north``."""
    return Member(name, kind, MemberState.LIVE, "tt-north", location, f"{name}:1", pool, True)


def engines(per_data_centre):
    """Return engines of one pool in all data centres."""
    return [
        member(f"{location}-{index}", MemberKind.ENGINE, location, "diag-llm")
        for location in DATA_CENTRES
        for index in range(per_data_centre)
    ]


def vms():
    """Return one VM in each data centre."""
    return [member(f"vm-{location}", MemberKind.ENTRY_VM, location) for location in DATA_CENTRES]


def test_small_pool_is_one_shard_of_its_region():
    (shard,) = shards_of(engines(2)).values()
    assert shard.name == "diag-llm@tt-north#0"
    assert len(shard.engines) == 6
    for location in DATA_CENTRES:
        assert shard.is_near(Identity("vm", "entry", "tt-north", location, 1))
    assert not shard.is_near(Identity("vm", "entry", "hue", "hue-a", 1))


def test_large_pool_has_shards_in_each_data_centre():
    shards = shards_of(engines(MAX_SHARD_ENGINES))
    assert sorted(shards) == sorted(f"diag-llm@{location}#0" for location in DATA_CENTRES)
    for shard in shards.values():
        assert {engine.data_centre for engine in shard.engines} == {shard.data_centre}


def test_owner_is_a_live_vm_near_the_shard():
    (shard,) = shards_of(engines(2)).values()
    all_vms = [vm.name for vm in vms()]
    owner = shard_owner(shard, vms(), all_vms)
    assert owner in all_vms
    rest = [name for name in all_vms if name != owner]
    assert shard_owner(shard, vms(), rest) in rest
    assert shard_owner(shard, vms(), []) == ""


def test_each_side_of_a_partition_has_an_owner():
    (shard,) = shards_of(engines(2)).values()
    for location in DATA_CENTRES:
        assert shard_owner(shard, vms(), [f"vm-{location}"]) == f"vm-{location}"
