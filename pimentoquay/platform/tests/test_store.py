import contextlib
import json

import pytest

from pimentoquay.http1.tests.scripted import scripted
from pimentoquay.platform.store import StoreClient, StoreError


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"not JSON",
        b"[]",
        b"{}",
        b'{"items": 7, "endOffset": 1}',
        b'{"endOffset": "1"}',
        b'{"endOffset": -1}',
        b'{"endOffset": %d}' % 2**32,
        b'{"endOffset": 1' + b"0" * 5000 + b"}",
        b'{"endOffset": 1, "items": [7], "hasMore": true}',
        b"[" * 100_000,
    ],
)
async def test_an_invalid_list_of_records_raises_store_error(body):
    """An invalid response ended the process, because only its JSON syntax was checked."""
    for call in ("read_latest", "read_end_position"):
        async with scripted(answer(body)) as (_, pool):
            with pytest.raises(StoreError):
                await getattr(StoreClient(pool.address), call)("keyed.op")


@pytest.mark.parametrize("body", [b"", b"\0" * 15, b"\xff" * 16, b"\1" + b"\0" * 15])
async def test_a_page_without_usable_offsets_raises_store_error(body):
    """An end that no topic can have ended each gateway that polled, with ValueError."""
    async with scripted(answer(body)) as (_, pool):
        with pytest.raises(StoreError):
            await StoreClient(pool.address).read("keyed.op", 0, 0.0)


@pytest.mark.parametrize("era", [b"1" + b"0" * 5000, b"9" * 9, b"0"])
async def test_a_response_of_an_era_out_of_range_raises_store_error(era):
    """A number of more than 4,300 digits ended the process with ValueError."""
    head = b"HTTP/1.1 200 OK\r\nStore-Era: " + era + b"\r\nContent-Length: 16\r\n\r\n"
    async with scripted(head + b"\0" * 16) as (_, pool):
        with contextlib.closing(StoreClient(pool.address)) as client:
            with pytest.raises(StoreError):
                await client.read("keyed.op", 0, 0.0)
            assert client.era.value == 1


@pytest.mark.parametrize(
    "record",
    [
        {"key": "a", "value": "YQ==", "offset": -1},
        {"key": "a", "value": "YQ==", "offset": 2**32},
        {"key": "a", "value": "YQ==", "offset": 10**4000},
        {"key": "a", "value": "YQ==", "offset": float("inf")},
        {"key": "a", "value": "ü", "offset": 1},
        {"key": "a" * 256, "value": "YQ==", "offset": 1},
        {"key": "\ud83d", "value": "YQ==", "offset": 1},
        ["a"],
    ],
)
async def test_a_record_that_cannot_be_used_is_passed_over(record):
    sound = {"key": "b", "value": "YQ==", "offset": 2}
    body = json.dumps({"items": [record, sound], "endOffset": 3}).encode()
    async with scripted(answer(body)) as (_, pool):
        with contextlib.closing(StoreClient(pool.address)) as client:
            page = await client.read_latest("keyed.op")
    assert [(each.key, each.value, each.position) for each in page.records] == [("b", b"a", 2)]
