"""Answers that wait in the system's buffers until slow callers read them."""

import asyncio
import socket

from pimentoquay.http1 import server_connection as connection_module
from pimentoquay.http1.tests.scripted import BUFFER_BYTES, connection_of, until
from pimentoquay.http1.tests.test_unsent_answers import BODY, REQUEST, read_all, running_server

SHORT_BODY = BODY[:200_000]


async def slow_caller(server, answerer, monkeypatch):
    """Return the socket of a caller that has read nothing of an answer the system holds."""
    monkeypatch.setattr("pimentoquay.http1.tests.test_unsent_answers.BODY", SHORT_BODY)
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", server.port))
    await until(lambda: connection_of(server, sock) is not None, "accepted")
    transport = connection_of(server, sock)
    await loop.sock_sendall(sock, REQUEST)
    await until(lambda: answerer.ended == 1, "answered")
    await until(lambda: transport.get_write_buffer_size() == 0, "written")
    return sock


async def test_an_answer_in_the_systems_buffers_is_in_progress(monkeypatch):
    """The process ended, and a caller's next request made the system discard the rest."""
    async with running_server() as (answerer, server):
        sock = await slow_caller(server, answerer, monkeypatch)
        with sock:
            server.drain()
            await server.close()
            assert server.requests_in_progress == 1
            assert (await read_all(sock)).endswith(SHORT_BODY)
            await until(lambda: server.requests_in_progress == 0, "sent")


async def test_a_connection_is_not_closed_while_the_system_holds_its_answer(monkeypatch):
    """What its caller sent after that reset it."""
    monkeypatch.setattr(connection_module, "LINGER_SECONDS", 0.05)
    async with running_server() as (answerer, server):
        server.drain()
        sock = await slow_caller(server, answerer, monkeypatch)
        with sock:
            await asyncio.sleep(0.5)
            await asyncio.get_running_loop().sock_sendall(sock, REQUEST)
            assert (await read_all(sock)).endswith(SHORT_BODY)
            await until(lambda: not server.connections, "closed")


async def test_a_connection_whose_caller_does_not_read_is_closed_in_the_end(monkeypatch):
    monkeypatch.setattr(connection_module, "LINGER_SECONDS", 0.05)
    async with running_server() as (answerer, server):
        answerer.expires_at = asyncio.get_running_loop().time() + 0.5
        server.drain()
        sock = await slow_caller(server, answerer, monkeypatch)
        with sock:
            await until(lambda: not server.connections, "closed")
