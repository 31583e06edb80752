"""Lookups of routes under load: thousands of routes, and paths of thousands of segments."""

import random
import sys

import pytest

from pimentoquay.policy.fleet import FleetConfiguration, RepeatRule, Route, ServiceShare
from pimentoquay.policy.route_choice import RouteTable

HOSTS = ("a.example", "b.example")
MAX_STEPS = 60
"""Most calls that one lookup may make; the prefixes have at most six segments."""


def table_of(prefixes):
    shares = (ServiceShare("s", 1.0),)
    routes = tuple(
        Route(f"{host}{prefix}", host, prefix, RepeatRule.IDEMPOTENT, 1.0, 0.1, shares)
        for host, prefix in prefixes
    )
    return RouteTable(FleetConfiguration(1, routes, {}))


def reference(prefixes, host, target):
    """Return the longest prefix that ends with a slash and begins the path, or None."""
    path = target.partition("?")[0]
    matching = [
        prefix
        for each, prefix in prefixes
        if each == host and prefix.endswith("/") and path.startswith(prefix)
    ]
    return max(matching, key=len, default=None)


def drawn_path(random_source, most=6):
    segments = random_source.choices(("", "a", "b", "ab", "a.b"), k=random_source.randint(0, most))
    return "/" * random_source.randint(0, 1) + "/".join(segments)


@pytest.mark.parametrize("seed", range(5))
def test_the_longest_prefix_is_found_whatever_the_segments(seed):
    random_source = random.Random(seed)
    prefixes = [
        (host, drawn_path(random_source) + random_source.choice(("/", "/", "")))
        for host in HOSTS
        for _ in range(60)
    ]
    table = table_of(prefixes)
    found_any = 0
    for _ in range(2000):
        host = random_source.choice((*HOSTS, "c.example"))
        target = drawn_path(random_source, 9) + random_source.choice(("", "?q=/a/", "/?"))
        found, expected = table.find(host, target), reference(prefixes, host, target)
        assert (found and found.path_prefix) == expected, (host, target)
        found_any += found is not None
    assert 200 < found_any < 2000


def calls_of(work):
    """Return the number of calls that a function makes, with those of built-in methods."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


@pytest.mark.parametrize(
    "path",
    [
        "/" * 16_000,
        "/look/" + "/" * 15_900,
        "/look/a/b/c/d/e/" + "f/" * 7900,
        "/look/" + "a/" * 7900,
        "/" + "x" * 16_000,
    ],
    ids=["slashes", "/look/", "beyond a prefix", "segments", "one segment"],
)
def test_a_path_of_thousands_of_segments_takes_no_more_steps_than_the_prefixes_have(path):
    """40 such calls a second kept a gateway from answering anybody: 33 ms for each lookup."""
    prefixes = [("a.example", f"/part-{number % 50}/{number}/") for number in range(3000)]
    prefixes += [("a.example", "/look/"), ("a.example", "/look/a/b/c/d/")]
    table = table_of(prefixes)
    assert calls_of(lambda: table.find("a.example", path)) <= MAX_STEPS
    found = table.find("a.example", path)
    assert (found and found.path_prefix) == reference(prefixes, "a.example", path)
