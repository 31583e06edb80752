"""Which engines share a scheduler: small pools by region, large ones by data centre."""

from pimentoquay.kernel import Identity
from pimentoquay.membership import MAX_SHARD_ENGINES, shard_owner, shards_of
from pimentoquay.messages.cluster import Member, MemberKind, MemberState

PLACES = ("city-hall", "san-juan", "arima-hall")


def member(name, kind, place, pool=""):
    return Member(name, kind, MemberState.LIVE, "tt-north", place, f"{name}:1", pool, True)


def engines(per_place):
    return [
        member(f"{place}-{index}", MemberKind.ENGINE, place, "diag-llm")
        for place in PLACES
        for index in range(per_place)
    ]


def vms():
    return [member(f"vm-{place}", MemberKind.ENTRY_VM, place) for place in PLACES]


def test_small_pool_is_one_shard_of_its_region():
    (shard,) = shards_of(engines(2)).values()
    assert shard.name == "diag-llm@tt-north#0"
    assert len(shard.engines) == 6
    for place in PLACES:
        assert shard.is_near(Identity("vm", "entry", "tt-north", place, 1))
    assert not shard.is_near(Identity("vm", "entry", "hue", "hue-a", 1))


def test_large_pool_has_shards_in_each_data_centre():
    shards = shards_of(engines(MAX_SHARD_ENGINES))
    assert sorted(shards) == sorted(f"diag-llm@{place}#0" for place in PLACES)
    for shard in shards.values():
        assert {engine.data_centre for engine in shard.engines} == {shard.data_centre}


def test_owner_is_a_live_vm_near_the_shard():
    (shard,) = shards_of(engines(2)).values()
    everybody = [vm.name for vm in vms()]
    owner = shard_owner(shard, vms(), everybody)
    assert owner in everybody
    rest = [name for name in everybody if name != owner]
    assert shard_owner(shard, vms(), rest) in rest
    assert shard_owner(shard, vms(), []) == ""


def test_each_side_of_a_partition_finds_an_owner_of_its_own():
    (shard,) = shards_of(engines(2)).values()
    for place in PLACES:
        assert shard_owner(shard, vms(), [f"vm-{place}"]) == f"vm-{place}"
