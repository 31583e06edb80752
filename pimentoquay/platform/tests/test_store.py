import pytest

from pimentoquay.http1.tests.scripted import scripted
from pimentoquay.platform.store import StoreClient, StoreError


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    "body",
    [b"", b"not JSON", b"[]", b"{}", b'{"items": 7, "endOffset": 1}', b'{"endOffset": "1"}'],
)
async def test_an_answer_that_is_no_list_of_records_is_an_error_of_the_store(body):
    """It ended the whole process, because only the JSON itself was checked."""
    for call in ("newest", "end_of"):
        async with scripted(answer(body)) as (_, pool):
            with pytest.raises(StoreError):
                await getattr(StoreClient(pool.address), call)("keyed.op")


@pytest.mark.parametrize("body", [b"", b"\0" * 15])
async def test_records_without_their_offsets_are_an_error_of_the_store(body):
    async with scripted(answer(body)) as (_, pool):
        with pytest.raises(StoreError):
            await StoreClient(pool.address).read("keyed.op", 0, 0.0)
