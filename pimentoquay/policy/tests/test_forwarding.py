"""Forwarding of the requests of split routes."""

import random
from collections import Counter

from pimentoquay.policy.fleet import RepeatRule, Route, Service, ServiceShare, TokenMemory
from pimentoquay.policy.forwarding import Forwarding, forwarding_of
from pimentoquay.policy.route_choice import choose_service

MEMORY = TokenMemory(64, 91_912, 18_432, 0.5, 2.0)
SERVICES = {
    "llm": Service("llm", "/health", 360, MEMORY),
    "feed": Service("feed", "/health", 100),
}
SHARES = (ServiceShare("llm", 90.0), ServiceShare("feed", 10.0))


def route(repeat):
    return Route("r", "h", "/", repeat, 14.0, 1.0, SHARES)


def test_every_request_of_a_split_stream_route_is_read_as_a_stream():
    """Guards against streams that are broken off inside an event and look complete."""
    chance, stream_route = random.Random(1), route(RepeatRule.STREAM)
    counts: Counter[Forwarding] = Counter()
    for number in range(2_000):
        service = choose_service(stream_route.shares, f"r{number}")
        names_model = chance.random() < 0.9
        found = forwarding_of(stream_route, SERVICES.get(service), names_model)
        counts[found] += 1
        is_model = service == "llm" and names_model
        assert found is (Forwarding.MODEL_STREAM if is_model else Forwarding.PLAIN_STREAM)
    assert counts[Forwarding.MODEL_STREAM] > 1_500
    assert counts[Forwarding.PLAIN_STREAM] > 250


def test_requests_of_other_routes_are_calls():
    for repeat in (RepeatRule.IDEMPOTENT, RepeatRule.ONCE):
        for service in (*SERVICES.values(), None):
            for names_model in (False, True):
                assert forwarding_of(route(repeat), service, names_model) is Forwarding.CALL


def test_a_stream_of_a_service_that_is_not_configured_is_read_as_one():
    found = forwarding_of(route(RepeatRule.STREAM), None, True)
    assert found is Forwarding.PLAIN_STREAM
