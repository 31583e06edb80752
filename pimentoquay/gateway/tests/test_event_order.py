"""Streams of engines that write several events at once, of which one is wrong."""

from typing import ClassVar

import pytest

from pimentoquay.gateway.event_reader import EventReader
from pimentoquay.gateway.stream_progress import RunEndedError
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.gateway.tests.test_streams import WHOLE
from pimentoquay.http1 import Exchange
from pimentoquay.standin.platform_engine import PlatformEngine


def event(number, data=None):
    return f"id: {number}\ndata: {data or f'piece {number}'}\n\n".encode()


class PieceEngine(PlatformEngine):
    """Writes the pieces of ``spoiled`` in its first stream, and sound events in all others."""

    spoiled: ClassVar[list[bytes]] = []

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        pieces = [event(number) for number in range(first, self.events + 1)]
        if self.spoiled:
            pieces, PieceEngine.spoiled = self.spoiled, []
        for piece in pieces:
            reply.write(piece)
        reply.end()


async def add_piece_engines(env, monkeypatch, spoiled, software="v1"):
    """Replace the decode engines; the first stream of them gets the spoiled pieces."""
    monkeypatch.setattr(PieceEngine, "spoiled", spoiled)
    for name in ("dec-1", "dec-2"):
        await env.engine_by_id[name].close()
        await env.add_engine(PieceEngine(name, "llm", stage="decode", born=2, software=software))
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: len([e for e in fleet.engines() if e.incarnation == 2]) == 2, "listed")


def runs(env, *engines):
    """Return the ``Last-Event-Id`` of each run."""
    return [
        arrival.headers.get("last-event-id")
        for name in engines or ("dec-1", "dec-2")
        for arrival in env.engine_by_id[name].arrivals
    ]


WRONG_EVENTS = {
    "wrong id": event(65, "piece 3"),
    "event twice": event(2),
    "event missing": event(4),
    "too long": b"id: 3\ndata: " + b"x" * 70_000,
}


@pytest.mark.parametrize("name", WRONG_EVENTS)
async def test_events_that_are_read_together_with_a_wrong_one_reach_the_caller(name, monkeypatch):
    """They were counted as sent, or dropped, and the stream went on behind them."""
    piece = event(1) + event(2) + WRONG_EVENTS[name]
    async with rig() as env:
        await add_piece_engines(env, monkeypatch, [piece])
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        assert sorted(after or "" for after in runs(env)) == ["", "2"]


async def test_events_read_together_with_a_wrong_one_reach_a_caller_that_may_not_resume(
    monkeypatch,
):
    async with rig() as env:
        await add_piece_engines(env, monkeypatch, [event(1) + event(2) + event(65)])
        response = await env.stream("/sheet/a")
        assert (response.body, response.is_whole) == (event(1) + event(2), False)
        assert len(runs(env)) == 1


async def test_the_version_that_began_a_stream_is_recorded_though_a_wrong_event_came_with_the_first(
    monkeypatch,
):
    """Nobody knew that the stream had begun, so that any version could go on with it."""
    async with rig() as env:
        # Each of two engines that state no version has one of its own.
        await add_piece_engines(env, monkeypatch, [event(1) + event(2) + event(65)], software="")
        gateway = env.gateway_by_vm["vm-1"]
        version_by_id = {each.id: each.software_version for each in gateway.fleet.engines()}
        begun = []
        monkeypatch.setattr(gateway.origins, "record_begun", lambda job, each: begun.append(each))
        await env.stream("/sheet/a")
        assert version_by_id["dec-1"] != version_by_id["dec-2"]
        assert begun == [version_by_id[name] for name in ("dec-1", "dec-2") if runs(env, name)]


async def test_tokens_are_counted_once_their_events_were_sent(monkeypatch):
    """Tokens of events that no caller got were counted as output of the stream."""
    async with rig() as env:
        await add_piece_engines(env, monkeypatch, [event(1) + event(65) + event(66)])
        streams = env.gateway_by_vm["vm-1"].dispatcher._streams
        reported = []
        monkeypatch.setattr(
            streams._reservations,
            "update_progress",
            lambda reservation, tokens: reported.append(tokens),
        )
        await env.stream("/sheet/a")
        tokens = streams._shared.fleet.configuration.service_by_name["llm"].memory.event_tokens
        assert reported == [2 * tokens]


EVENTS_WITHOUT_ID = {
    "none": b"data: piece 3\n\n",
    "no number": b"id: 3x\ndata: piece 3\n\n",
    "5,000 digits": event("3" * 5000, "piece 3"),
}


@pytest.mark.parametrize("name", EVENTS_WITHOUT_ID)
async def test_an_event_whose_id_is_garbled_does_not_come_twice(name, monkeypatch):
    """It was passed on uncounted, and once more when the stream went on after the event before."""
    pieces = [event(1), event(2) + EVENTS_WITHOUT_ID[name], event(4) + event(5)]
    async with rig() as env:
        await add_piece_engines(env, monkeypatch, pieces)
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        assert sorted(after or "" for after in runs(env)) == ["", "2"]


async def test_a_stream_whose_first_events_have_no_id_is_not_begun_anew(monkeypatch):
    """All that the caller had came once more in the same answer."""
    first = b"data: piece 1\n\ndata: piece 2\n\n"
    async with rig() as env:
        await add_piece_engines(env, monkeypatch, [first + b"id: 3\nda"])
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, first, False)
        assert len(runs(env)) == 1


async def test_comments_between_events_are_passed_on(monkeypatch):
    pieces = [b": wait\n\n", event(1), b": wait\n\n", *(event(number) for number in range(2, 6))]
    async with rig() as env:
        await add_piece_engines(env, monkeypatch, pieces)
        response = await env.stream()
        assert (response.body, response.is_whole) == (b"".join(pieces), True)


async def test_a_piece_without_an_id_is_passed_on_in_a_stream_that_may_not_be_resumed(monkeypatch):
    pieces = [event(1), event(2), b"data: piece 3\n\n"]
    async with rig() as env:
        await add_piece_engines(env, monkeypatch, pieces)
        response = await env.stream("/sheet/a")
        assert (response.body, response.is_whole) == (b"".join(pieces), True)


class ReadExchange(Exchange):
    """Exchange whose body is read in given parts."""

    def __init__(self, *parts):
        self.headers = ((b"Transfer-Encoding", b"chunked"),)
        self._parts = list(parts)

    async def read_chunk(self, seconds=None):
        return self._parts.pop(0) if self._parts else None


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["LF", "CRLF", "CR"])
async def test_sound_events_are_returned_wherever_a_read_ends(line_end):
    """Sockets, tunnels and libraries divide a stream anywhere; none may lose a sound event."""
    body = (event(1) + event(2) + event(65)).replace(b"\n", line_end)
    sound = (event(1) + event(2)).replace(b"\n", line_end)
    for place in range(len(body) + 1):
        parts = filter(None, (body[:place], body[place:]))
        reader = EventReader(ReadExchange(*parts), None, None, True)
        read = b""
        with pytest.raises(RunEndedError):
            while events := await reader.next_events():
                read += b"".join(each.data for each in events)
        assert read == sound
