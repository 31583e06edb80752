import json
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoquay.entry.parse import parse_headers, parse_json, parse_request, wants_usage
from pimentoquay.entry.request import RequestSpec
from pimentoquay.entry.shard_choice import choose_shards
from pimentoquay.entry.tests.fakes import entry_vm
from pimentoquay.entry.tests.http_rig import workspace_of
from pimentoquay.kernel import RefusedError
from pimentoquay.membership import Shard
from pimentoquay.messages.cluster import ShardSummary

WORKSPACE = workspace_of("print", "key", "diag-llm")
HEADERS = parse_headers({"authorization": "Bearer key"})

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
messages = st.lists(st.fixed_dictionaries({"role": values, "content": values}) | values, max_size=3)
bodies = st.fixed_dictionaries(
    {"model": st.just("diag-llm") | values},
    optional={
        "prompt": st.text() | values,
        "messages": messages | values,
        "max_tokens": values,
        "max_completion_tokens": values,
        "stream": values,
        "kind": st.sampled_from(["diagnosis", "order"]) | values,
        "n": values,
    },
)


def outcome(body: bytes, chat: bool) -> RequestSpec | RefusedError:
    """Return the parsed request, or the error if it is refused."""
    try:
        return parse_request(parse_json(body), HEADERS, WORKSPACE, {"diag-llm"}, chat)
    except RefusedError as error:
        return error


def test_limit_and_weight_of_a_request_come_from_its_workspace():
    body = {"model": "diag-llm", "prompt": "fault log", "kind": "diagnosis"}
    workspace = replace(WORKSPACE, max_concurrent=7, weight=3)
    spec = parse_request(body, HEADERS, workspace, {"diag-llm"}, False)
    assert (spec.workspace_limit, spec.workspace_weight) == (7, 3)


@settings(deadline=None, max_examples=300, derandomize=True)
@given(bodies, st.booleans())
def test_any_json_body_is_parsed_or_refused_with_a_result_code(body, chat):
    result = outcome(json.dumps(body).encode(), chat)
    if isinstance(result, RequestSpec):
        assert result.prompt and 1 <= result.max_tokens <= 40
        assert result.prompt_tokens <= 100
    else:
        assert 200 <= result.code < 300


@settings(deadline=None, max_examples=200, derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_are_parsed_or_refused_with_a_result_code(body):
    assert isinstance(outcome(body, False), RequestSpec | RefusedError)


@settings(deadline=None, max_examples=200, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(["x-request-id", "x-resume-offset", "authorization"]), st.text()
    )
)
def test_any_headers_are_parsed_or_refused_with_a_result_code(headers):
    try:
        parsed = parse_headers(headers)
    except RefusedError as error:
        assert 200 <= error.code < 300
    else:
        assert parsed.request_id and (parsed.resume_offset is None or parsed.resume_offset >= 0)


def shard(index: int, data_centre: str) -> Shard:
    return Shard(f"m@{data_centre}#{index}", "m", data_centre, ())


def summary(index: int, data_centre: str, queue_seconds: float, free: int = 1) -> ShardSummary:
    name = f"m@{data_centre}#{index}"
    return ShardSummary(name, data_centre, free, 0, queue_seconds)


def test_the_local_shard_of_a_prefix_is_chosen_unless_its_queue_is_much_longer():
    vm = entry_vm("vm-a")
    shards = [shard(0, "city-hall"), shard(1, "city-hall"), shard(0, "san-juan"), shard(0, "cut")]
    rng = random.Random(1)
    chosen = {choose_shards(shards, {}, vm, ("san-juan",), (7,), rng)[0] for _ in range(20)}
    assert len(chosen) == 1
    preferred = chosen.pop()
    busy = ShardSummary(preferred, "city-hall", 1, 9, 5.0)
    first, *spills = choose_shards(shards, {preferred: busy}, vm, ("san-juan",), (7,), rng)
    assert first != preferred and first.startswith("m@city-hall")
    assert spills == ["m@san-juan#0"]


def test_spills_go_to_the_shortest_queues_with_free_slots():
    vm = entry_vm("vm-a")
    shards = [shard(0, name) for name in ("b", "c", "d", "e")]
    summaries = [summary(0, "b", 3.0), summary(0, "c", 1.0), summary(0, "d", 0.0, free=0)]
    summary_by_shard = {item.shard: item for item in summaries}
    reachable = ("b", "c", "d")
    chosen = choose_shards(shards, summary_by_shard, vm, reachable, (), random.Random(1))
    assert chosen == ("m@c#0", "m@b#0")


@pytest.mark.parametrize("options", [5, {"include_usage": 1}, {"include_usage": True}])
def test_invalid_stream_options_are_named_in_the_refusal(options):
    with pytest.raises(RefusedError, match="stream_options"):
        wants_usage({"stream_options": options})
