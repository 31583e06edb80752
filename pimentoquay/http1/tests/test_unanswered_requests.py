import asyncio

import pytest

from pimentoquay.http1 import HttpServer, ServerLimits
from pimentoquay.http1.tests.scripted import until

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


async def answer(request, reply):
    reply.send(200, (), b"")


@pytest.fixture
async def server():
    server = HttpServer(answer, lambda: ServerLimits())
    await server.listen("127.0.0.1", 0)
    yield server
    server.abort()


async def connect(server):
    connected = await asyncio.open_connection("127.0.0.1", server.port)
    await until(lambda: server.connections)
    return connected


async def test_a_request_whose_connection_ends_while_it_is_read_is_counted(server):
    _, writer = await connect(server)
    writer.write(GET[:-2])
    await until(lambda: next(iter(server.connections))._first_byte_at is not None)
    writer.transport.abort()
    await until(lambda: not server.connections)
    assert server.unanswered.count_by_reason == {"lost": 1}


async def test_a_request_after_the_last_answer_is_not_read(server):
    """The system resets the connection, which shows that the request was not read."""
    reader, writer = await connect(server)
    writer.write(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    async with asyncio.timeout(10):
        await reader.read()
    (connection,) = server.connections
    writer.write(GET)
    await until(lambda: not server.connections)
    with pytest.raises(ConnectionError):
        writer.write(GET)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(GET)
        await writer.drain()
    assert not connection.has_read_ahead
    assert not server.unanswered.count_by_reason


async def test_the_rest_of_a_refused_request_is_not_counted(server):
    reader, writer = await connect(server)
    writer.write(b"nonsense\r\n\r\n")
    async with asyncio.timeout(10):
        await reader.read()
    writer.write(GET)
    await asyncio.sleep(0.05)
    writer.close()
    await until(lambda: not server.connections)
    assert not server.unanswered.count_by_reason
