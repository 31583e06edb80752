"""Compare placement, the prefix index and the circuits with naive versions on the same inputs."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoquay.backends.base import EngineRole
from pimentoquay.policy import (
    BLOCK_TOKENS,
    CircuitLimits,
    Circuits,
    CircuitState,
    EngineLoad,
    LinkLoad,
    PlacementLimits,
    PlacementNeed,
    PrefixIndex,
    SpeedBook,
    StartingSpeeds,
    choose,
    link_keys,
)

LIMITS = PlacementLimits()


@st.composite
def loads(draw):
    engines = []
    for index in range(draw(st.integers(1, 5))):
        decoding = draw(st.integers(0, 4))
        link = LinkLoad()
        for number, seconds in enumerate(draw(st.lists(st.floats(0.01, 0.5), max_size=3))):
            link.add(f"r{number}", 10.0 + number / 4, seconds, 0.7)
        engines.append(
            EngineLoad(
                f"e{index}",
                draw(st.sampled_from(list(EngineRole))),
                4,
                draw(st.sampled_from([500, 5000])),
                draw(st.sampled_from(["a", "b"])),
                reserved=draw(st.integers(0, 4 - decoding)),
                decoding=decoding,
                release_rate=decoding * draw(st.sampled_from([0.0, 0.3, 2.0, 8.0])),
                kv_reserved=draw(st.integers(0, 400)),
                prefill_count=draw(st.integers(0, 2)),
                prefill_free_at=draw(st.sampled_from([0.0, 9.99, 10.01, 11.0])),
                link_free_at=draw(st.sampled_from([0.0, 10.3, 11.5])),
                link=link,
            )
        )
    return engines


def naive_end(source, need, speeds, now):
    tokens = max(1, need.prompt_tokens - need.cached_by_engine.get(source.name, 0))
    begin = max(now, source.prefill_free_at) if source.prefill_count else now
    return begin + tokens * speeds.prefill.of(source.name)


def naive_arrival(source, target, need, speeds, now):
    end = naive_end(source, need, speeds, now)
    if source is target:
        return end
    begin = max(end, source.link_free_at, target.link_free_at)
    return begin + need.prompt_tokens * speeds.transfer.of(target.name)


def naive_is_feasible(source, target, need, closed, now):
    if not (source.can_prefill and target.can_decode):
        return False
    if source.prefill_count > 1:
        return False
    if source.prefill_count and not now < source.prefill_free_at <= now + 0.02:
        return False
    if closed & set(link_keys(source.name, target.name)):
        return False
    total = need.prompt_tokens + need.max_tokens
    return source.free_kv() >= need.prompt_tokens and target.free_kv() >= total


def naive_has_slot(source, target, seconds):
    missing = 1 - target.free_slots()
    if missing <= 0:
        return True
    if target.can_prefill or missing > min(1, target.decoding) or not target.release_rate:
        return False
    return seconds >= missing / (target.release_rate * LIMITS.release_share)


def naive_costs(need, engines, speeds, closed, now):
    """Return the cost of every feasible pair of engines, computed separately for each pair."""
    cost_by_pair = {}
    total = need.prompt_tokens + need.max_tokens
    is_any_free = any(
        load.can_decode and load.free_slots() > 0 and load.free_kv() >= total for load in engines
    )
    for source in engines:
        for target in engines:
            arrival = naive_arrival(source, target, need, speeds, now)
            if not naive_is_feasible(source, target, need, closed, now):
                continue
            if not naive_has_slot(source, target, arrival - now):
                continue
            if is_any_free and target.free_slots() <= 0:
                continue
            end = naive_end(source, need, speeds, now)
            is_shared = max(source.link_free_at, target.link_free_at) > end
            if source is not target and is_shared and arrival - end > LIMITS.link_seconds:
                continue
            transfer = need.prompt_tokens * speeds.transfer.of(target.name)
            fits = source.link.fits(end, transfer) and target.link.fits(end, transfer)
            if source is not target and is_shared and not fits:
                continue
            cost = arrival + LIMITS.fullness_cost * (1 - target.free_slots() / target.slots)
            cost += LIMITS.promise_cost if target.free_slots() <= 0 else 0.0
            cost += LIMITS.remote_cost if source.data_centre != target.data_centre else 0.0
            cost_by_pair[source.name, target.name] = cost
    return cost_by_pair


@settings(max_examples=300, deadline=None)
@given(
    loads(),
    st.integers(1, 400),
    st.integers(1, 100),
    st.lists(st.tuples(st.integers(0, 4), st.integers(1, 40)), max_size=4),
    st.sets(st.sampled_from(["e0>", ">e1", ">e0", "e2>"])),
)
def test_choice_has_the_lowest_cost_of_all_feasible_pairs(engines, prompt, answer, samples, closed):
    speeds = SpeedBook(StartingSpeeds())
    for index, milliseconds in samples:
        speeds.record_prefill(f"e{index}", 100, milliseconds / 1000, 1.0)
        speeds.record_transfer(f"e{index}", 100, milliseconds / 5000, 1.0)
    need = PlacementNeed(prompt, answer, {"e0": prompt // 2})
    sources = [engine for engine in engines if engine.can_prefill]
    targets = [engine for engine in engines if engine.can_decode]
    choice = choose(need, sources, targets, speeds, frozenset(closed), LIMITS, 10.0)
    cost_by_pair = naive_costs(need, engines, speeds, closed, 10.0)
    if not cost_by_pair:
        assert choice is None
        return
    assert choice is not None
    # Sums in a different order differ in the last bits, so pairs of equal cost may be swapped.
    lowest_cost = min(cost_by_pair.values())
    assert cost_by_pair[choice.prefill, choice.decode] <= lowest_cost + 1e-9


@settings(max_examples=100, deadline=None)
@given(st.lists(st.lists(st.integers(0, 3), min_size=1, max_size=6), max_size=8))
def test_prefix_bisection_finds_the_longest_prefix(prompts):
    index = PrefixIndex()
    chains = [tuple(hash(tuple(prompt[: n + 1])) for n in range(len(prompt))) for prompt in prompts]
    for chain in chains[::2]:
        index.add("e", chain)
    known = {block for chain in chains[::2] for block in chain}
    for chain in chains:
        longest = 0
        while longest < len(chain) and chain[longest] in known:
            longest += 1
        assert index.cached_tokens("e", chain) == longest * BLOCK_TOKENS


@settings(max_examples=100, deadline=None)
@given(st.lists(st.sampled_from(["ask", "refuse", "fail", "succeed", "wait"]), max_size=40))
def test_never_two_probes_at_once(steps):
    circuits = Circuits(CircuitLimits())
    now, in_flight = 0.0, 0
    for step in steps:
        if step == "ask" and circuits.state("e", now) is CircuitState.PROBE_DUE:
            circuits.begin_probe("e", "r", now)
            in_flight += 1
        elif step == "refuse":
            circuits.refused("e", now)
            in_flight = 0
        elif step == "fail":
            circuits.failed("e", now)
            in_flight = 0
        elif step == "succeed":
            circuits.succeeded("e")
            in_flight = 0
        else:
            now += 0.3
        assert in_flight <= 1
        if in_flight:
            assert circuits.state("e", now) is CircuitState.PROBING


def test_refusal_opens_a_circuit_at_once_and_an_error_after_the_grace_count():
    circuits = Circuits(CircuitLimits())
    circuits.failed("link", 0.0)
    assert circuits.state("link", 0.0) is CircuitState.CLOSED
    circuits.failed("link", 0.0)
    assert circuits.state("link", 0.0) is CircuitState.WAITING
    circuits.refused("engine", 0.0)
    assert circuits.state("engine", 0.0) is CircuitState.WAITING
    assert circuits.state("engine", 0.25) is CircuitState.PROBE_DUE
