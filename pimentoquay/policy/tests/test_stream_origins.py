"""Origins of streams, versions that served lately, and the engines that may go on with a stream."""

from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.stream_origins import (
    MAX_ORIGINS,
    ServiceVersions,
    StreamOrigins,
    stream_key,
)
from pimentoquay.policy.version_choice import can_go_on, engines_for, may_run


def entry(engine_id, software, stage=EngineStage.DECODE, incarnation=1):
    address = "127.0.0.1:1"
    return EngineEntry(
        engine_id, "llm", address, "hall", False, 64, stage, incarnation, software=software
    )


def test_only_what_was_not_known_is_told_on():
    origins = StreamOrigins()
    keys = [stream_key("a"), stream_key("b")]
    assert origins.learn("llm", "v1", keys[:1], 0.0) == keys[:1]
    assert origins.learn("llm", "v1", keys, 1.0) == keys[1:]
    assert origins.software_of("other", keys[0]) is None


def test_origins_fill_no_memory_and_expire():
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 1000):
        origins.learn("llm", "v1", [number.to_bytes(8, "big")], float(number))
    assert len(origins) == MAX_ORIGINS
    origins.expire(float(MAX_ORIGINS))
    assert len(origins) == 1000


def test_a_version_that_is_gone_counts_for_as_long_as_its_streams_may_live():
    versions = ServiceVersions()
    versions.observe({"v1"}, 0.0)
    versions.observe({"v1", "v2"}, 20.0)
    versions.observe({"v2"}, 30.0)
    assert versions.served_since(29.0) == {"v1", "v2"}
    assert versions.served_since(30.5) == set()
    versions.observe({"v2"}, 45.0)
    assert versions.served_since(31.0) == {"v2"}


def test_a_gateway_that_starts_is_told_which_versions_served_before():
    versions = ServiceVersions()
    versions.observe({"v2"}, 100.0)
    versions.learn("v1", 95.0)
    versions.learn("v1", 80.0)
    assert versions.served_since(90.0) == {"v1", "v2"}


def test_an_engine_without_a_version_is_like_no_other_start():
    engines = [entry("a", ""), entry("b", ""), entry("a", "", incarnation=2)]
    assert len({each.software_version for each in engines}) == 3
    assert all(may_run(each, "") for each in engines)
    assert may_run(engines[0], engines[0].software_version)
    assert not can_go_on(engines[1:], engines[0].software_version)


def test_a_closed_version_takes_only_streams_that_began_at_it():
    engine = entry("a", "v2")
    assert not may_run(engine, "", {"v2"})
    assert may_run(engine, "", {"v1"})
    assert may_run(engine, "v2", {"v2"})
    assert not may_run(engine, "v1", set())


def test_only_decode_engines_can_go_on_with_a_stream():
    prefill = entry("p", "v1", EngineStage.PREFILL)
    assert not can_go_on([prefill, entry("d", "v2")], "v1")
    assert can_go_on([prefill, entry("d", "v1")], "v1")


def test_new_streams_leave_the_engines_of_a_version_to_those_that_wait_for_it():
    engines = (entry("a", "v1"), entry("b", "v2"))
    assert engines_for(engines, "", {""}) == engines
    assert engines_for(engines, "", {"v1"}) == engines[1:]
    assert engines_for(engines, "v1", {"v1", "v2"}) == engines[:1]
