"""What is known of a head before it is parsed, against what the parser makes of it."""

import random
import tracemalloc

import h11
import pytest

from pimentoquay.http1.raw_head import RawHead
from pimentoquay.http1.request import request_of

FIRST = b"POST /a HTTP/1.1\r\nHost: a\r\n"


def parsed(data):
    """Return the request of a head and what follows it, or None if the head is not complete."""
    connection = h11.Connection(h11.SERVER, 10**6)
    connection.receive_data(data)
    event = connection.next_event()
    return (event, connection.trailing_data[0]) if isinstance(event, h11.Request) else None


@pytest.mark.parametrize("seed", range(3))
def test_lines_and_end_are_those_that_the_parser_finds(seed):
    random_source = random.Random(seed)
    complete = 0
    for _ in range(1000):
        lines = [b"X-%d: %s" % (i, b"v" * random_source.randint(0, 30)) for i in range(12)]
        del lines[random_source.randint(0, 12) :]
        newline = random_source.choice((b"\r\n", b"\n"))
        data = newline.join([b"GET /a HTTP/1.1", b"Host: a", *lines, b"", b"GET /b\r\n\r\nmore"])
        data = data[: random_source.randint(30, len(data))]
        head, rest = RawHead(), data
        while rest:
            count = random_source.randint(1, 40)
            head.add(rest[:count])
            rest = rest[count:]
        found = parsed(data)
        assert head.is_complete is (found is not None)
        if found is not None:
            complete += 1
            assert head.lines == len(found[0].headers)
            assert data[: head.length].endswith((b"\n\n", b"\n\r\n"))
            assert data[head.length :] == found[1]
    assert 200 < complete < 1000


def memory_of(data, headers):
    """Return the bytes of memory that the request of a head takes."""
    taken_from_freelists = [(number, None) for number in range(5000)]
    connection = h11.Connection(h11.SERVER, 10**6)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    connection.receive_data(data)
    event = connection.next_event()
    assert isinstance(event, h11.Request)
    request = request_of(event, b"", 0.0)
    del event
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(request.headers) == headers
    assert len(taken_from_freelists) == 5000
    return taken


@pytest.mark.parametrize("value", [b"", b"v", b"a value of some length"])
@pytest.mark.parametrize("count", [6, 30, 250, 3000])
def test_the_size_is_what_the_parsed_head_takes(value, count):
    """Heads of 16 KB counted as 16 KB while they were read, and as nothing once parsed."""
    lines = b"".join(b"N%d: %s\r\n" % (number, value) for number in range(count))
    data = FIRST + lines + b"\r\n"
    taken = min(memory_of(data, count + 1) for _ in range(3))
    size = RawHead(data).size
    assert 0.9 * taken - 1000 <= size <= 2.0 * taken
