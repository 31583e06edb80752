"""Responses whose status is outside 100 to 599."""

import pytest

from pimentoquay.http1.tests.scripted import scripted
from pimentoquay.http1.tests.test_client import OK, OTHER_OK, OTHER_RESPONSE, get, marked
from pimentoquay.kernel.errors import HttpError

INVALID = (b"600", b"999", b"000", b"00", b"099", b"0200", b"-20")


def with_status(status, response=OK):
    return response.replace(b"200 OK", status + b" Strange")


@pytest.mark.parametrize("status", INVALID)
@pytest.mark.parametrize(
    "before",
    [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", OTHER_RESPONSE],
    ids=["alone", "after an interim answer", "after a copy"],
)
async def test_a_status_outside_the_valid_range_is_no_response(before, status):
    async with scripted(before + with_status(status), OTHER_OK) as (server, pool):
        with pytest.raises(HttpError) as raised:
            await get(pool, mark=marked("1"))
        assert raised.value.written and raised.value.connection_lost
        assert await get(pool, mark=marked("2")) == (200, b"ok")
        assert server.connections == 2


@pytest.mark.parametrize("status", INVALID)
async def test_what_follows_such_a_status_is_no_response_either(status):
    async with scripted(with_status(status, OTHER_RESPONSE) + OK) as (_, pool):
        with pytest.raises(HttpError):
            await get(pool, mark=marked("1"))


@pytest.mark.parametrize("status", [200, 204, 299, 304, 399, 404, 499, 500, 599])
async def test_any_other_final_status_is_a_response(status):
    empty = b"HTTP/1.1 %d Any\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n" % status
    async with scripted(empty) as (_, pool):
        assert await get(pool, mark=marked("1")) == (status, b"")
