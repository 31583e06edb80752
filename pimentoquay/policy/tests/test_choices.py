from pimentoquay.policy.engine_choice import EngineCallStats, choose_engine
from pimentoquay.policy.fleet import (
    EngineEntry,
    FleetConfiguration,
    RepeatRule,
    Route,
    ServiceShare,
)
from pimentoquay.policy.repeat_allowance import RepeatAllowance, RepeatLimits
from pimentoquay.policy.route_choice import RouteTable, choose_service


def route(prefix, host="a.example"):
    shares = (ServiceShare("s", 1.0),)
    return Route(prefix, host, prefix, RepeatRule.IDEMPOTENT, 1.0, 0.1, shares)


def test_longest_path_prefix_of_the_host_is_found():
    routes = (route("/"), route("/a/"), route("/a/b/"), route("/c/", host="b.example"))
    table = RouteTable(FleetConfiguration(1, routes, {}))
    found = {path: table.find("a.example", path) for path in ("/a/b/x?q=/c/", "/a/bc", "/c/x")}
    assert [each.name for each in found.values() if each] == ["/a/b/", "/a/", "/"]
    assert table.find("c.example", "/a/b") is None


def test_a_split_follows_its_weights_and_every_vm_makes_the_same_choice():
    shares = (ServiceShare("big", 90), ServiceShare("small", 10), ServiceShare("none", 0))
    chosen = [choose_service(shares, f"id-{number}") for number in range(2000)]
    assert chosen == [choose_service(shares, f"id-{number}") for number in range(2000)]
    assert 0.07 < chosen.count("small") / 2000 < 0.13
    assert "none" not in chosen


def plain_server(name, data_centre):
    return EngineEntry(name, "desk", "10.0.0.1:1", data_centre, False, 6)


NEAR, FAR = plain_server("near", "hall"), plain_server("far", "other")


def test_local_server_is_used_until_it_serves_worse_than_a_remote_one():
    stats_by_id: dict[str, EngineCallStats] = {}
    choose = lambda now: choose_engine((NEAR, FAR), stats_by_id, "hall", now)  # noqa: E731
    assert choose(0.0) is NEAR
    for _ in range(4):
        stats_by_id["near"].record(0.4, True, 0.0)
    assert choose(0.0) is FAR
    assert choose(60.0) is NEAR


def test_server_that_fails_a_part_of_its_calls_is_avoided_but_tried_again():
    """Guards against a server that passes its health check but fails four in ten calls."""
    stats_by_id = {"near": EngineCallStats(), "far": EngineCallStats()}
    chosen = []
    for call in range(200):
        now = call * 0.1
        engine = choose_engine((NEAR, FAR), stats_by_id, "hall", now)
        assert engine is not None
        chosen.append(engine.id)
        stats_by_id[engine.id].record(0.03, engine is NEAR and call % 5 < 2, now)
    assert 0 < chosen[20:].count("near") < 0.5 * len(chosen[20:])


def test_repeats_of_all_vms_stay_within_the_limits_of_the_deployment():
    limits = RepeatLimits(ratio=0.2, slack=54, window_seconds=10.0)
    vms = [RepeatAllowance(limits, started_at=-100.0) for _ in range(7)]
    taken = 0
    for step in range(70):
        vms[step % 7].count_request(step * 0.1)
        taken += sum(vm.take(step * 0.1, 7) for vm in vms)
    assert 40 < taken <= 0.2 * 70 + 54


def test_a_vm_that_has_just_started_has_no_slack():
    limits = RepeatLimits(ratio=0.2, slack=70, window_seconds=10.0)
    allowance = RepeatAllowance(limits, started_at=0.0)
    assert not allowance.take(0.5, 7)
    assert allowance.left(5.0, 7) == 5.0


def test_repeat_of_two_sends_is_allowed_completely_or_not_at_all():
    limits = RepeatLimits(ratio=0.0, slack=3, window_seconds=10.0)
    allowance = RepeatAllowance(limits, started_at=-100.0)
    assert allowance.take(0.0, 1, sends=2)
    assert not allowance.take(0.0, 1, sends=2)
    assert allowance.take(0.0, 1)
