import asyncio
import contextlib

import pytest

from pimentoquay.kernel.http_peer import HttpError, HttpPeer

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"


class Server:
    """Server that responds to each request with its path after ``delay`` seconds."""

    def __init__(self):
        self.delay = 0.0
        self.connections = 0
        self.requests = 0
        self.closes_after_response = False

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                path = head.split()[1]
                await asyncio.sleep(self.delay)
                writer.write(RESPONSE % (len(path), path))
                await writer.drain()
                if self.closes_after_response:
                    break
        writer.close()


@contextlib.asynccontextmanager
async def peer(**options):
    server = Server()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    yield server, HttpPeer(f"127.0.0.1:{port}", **options)
    listener.close()


async def test_a_connection_serves_many_requests():
    async with peer() as (server, client):
        for number in range(5):
            await client.request("GET", f"/{number}", 5.0)
        assert server.connections == 1


async def test_late_response_is_not_read_by_the_next_request():
    async with peer() as (server, client):
        await client.request("GET", "/first", 5.0)
        server.delay = 0.2
        with pytest.raises(HttpError):
            await client.request("GET", "/late", 0.05)
        server.delay = 0.0
        response = await client.request("GET", "/next", 5.0)
        assert response.body == b"/next"
        assert client.connections_in_use == 0


async def test_a_connection_that_the_server_closed_is_not_used_again():
    async with peer() as (server, client):
        server.closes_after_response = True
        for number in range(5):
            await client.request("POST", f"/{number}", 5.0, b"x")
            await asyncio.sleep(0.02)
        assert server.connections == server.requests == 5


async def test_cancelled_requests_leave_no_connection_in_use():
    async with peer(connections=4) as (server, client):
        server.delay = 5.0
        for _ in range(12):
            task = asyncio.create_task(client.request("GET", "/", 5.0))
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait([task])
        assert client.connections_in_use == 0


async def test_requests_beyond_the_limit_fail_unsent():
    async with peer(connections=2) as (server, client):
        server.delay = 0.2
        tasks = [asyncio.create_task(client.request("GET", "/", 5.0)) for _ in range(3)]
        results = await asyncio.gather(*tasks, return_exceptions=True)
        failed = [item for item in results if isinstance(item, HttpError)]
        assert [item.written for item in failed] == [False]


async def test_cancellation_swallowed_by_the_library_still_ends_the_task(monkeypatch):
    peer = HttpPeer("127.0.0.1:1")

    async def swallow_cancellation(*args, **kwargs):
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            raise OSError("the server disconnected in the same iteration of the loop") from None

    monkeypatch.setattr(peer, "_send", swallow_cancellation)
    task = asyncio.create_task(peer.request("GET", "/", 30.0))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task})
    assert task.cancelled()


@pytest.mark.parametrize("status", ["600", "999", "1000", "000", "00", "099", "0200", "-20", "100"])
@pytest.mark.parametrize("is_stream", [False, True])
async def test_a_status_that_no_final_response_can_have_is_no_response(is_stream, status):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} Any\r\ncontent-length: 2\r\n\r\nno".encode())
        await writer.drain()
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = HttpPeer(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
    with pytest.raises(HttpError) as raised:
        if is_stream:
            await client.open_stream("/a", 5.0)
        else:
            await client.request("GET", "/a", 5.0)
    assert raised.value.written
    assert client.connections_in_use == 0
    assert not client._pool._idle, "what follows is not read as an answer"
    listener.close()
