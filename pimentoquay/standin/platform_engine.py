"""Stand-in for an engine or a plain service of the platform, with the platform's HTTP API.

It handles calls of a plain service, reservations of KV memory, prefills and streams. The function
``behaviour`` selects the response to each request, so that a test can cause a fault for a single
request.
"""

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from pimentoquay.http1 import HttpRequest, HttpServer, Reply, ServerLimits, find_header
from pimentoquay.standin.arrival import Arrival
from pimentoquay.standin.engine_behaviour import UNFRAMED, Behaviour
from pimentoquay.standin.late_copies import LateCopies

__all__ = ["Arrival", "Behaviour", "PlatformEngine"]

CAPACITY_TOKENS = 91_912
"""Default capacity of the KV memory of an engine, in tokens."""


@dataclass
class PlatformEngine:
    """Stand-in engine or plain service; a restart is a new instance with a higher ``born``.

    Attributes
    ----------
    id, service
        Id of this instance, and the name of its service.
    stage
        Stage that it serves, or empty for a plain service.
    born
        Incarnation number in its entries on the engine list.
    events
        Number of events of each stream.
    pause
        Time between two events of a stream, in seconds.
    capacity
        Capacity of the KV memory, in tokens.
    behaviour
        Function that returns the response to each received request.
    arrivals
        Received requests other than those for holds, orders and KV handles.
    holds
        Reserved KV memory by hold id, in tokens.
    running
        Number of streams and unanswered requests in progress.
    incomplete_responses
        Number of streams and unanswered requests that ended without a complete response.
    sequence
        Sequence number of the last entry on the engine list.
    orders
        Orders that were applied.
    is_leaving
        Whether all responses say that the engine is leaving.
    retry_after
        Value of the header that asks for a pause; if set, requests are answered with status 503.
    limit
        Value of the header that names the requests a second which it takes from all VMs together.
    calls
        Number of received requests of all kinds.
    deadly_parts
        Ids of the parts of prompts under which the engine crashes when it begins to write an
        answer.
    deadly_bodies
        Bodies of the requests under which the engine crashes when it runs them.
    software
        Version of its program, as in its entry.
    crash_seconds
        Time from the beginning of such a run to the crash, in seconds.
    crash_after_events
        Number of events that it writes before it crashes under such a stream.
    crash_after_bytes
        Number of bytes that it writes of the answer to such a call before it crashes.
    crashes_in_prefill
        Whether it also crashes when it prefills such a request.
    on_crash
        Called when the engine has crashed.
    is_crashed
        Whether the engine has crashed; it then refuses connections.
    late_copies
        Writes answers a second time.
    names_refused
        Whether the refusal of a request bears its id, as all answers have to.
    """

    id: str
    service: str
    data_centre: str = "hall"
    stage: str = ""
    born: int = 1
    events: int = 5
    pause: float = 0.0
    capacity: int = CAPACITY_TOKENS
    behaviour: Callable[[Arrival], Behaviour] = lambda arrival: Behaviour.SERVE
    arrivals: list[Arrival] = field(default_factory=list)
    holds: dict[str, int] = field(default_factory=dict)
    running: int = 0
    incomplete_responses: int = 0
    address: str = ""
    sequence: int = 0
    orders: list[dict] = field(default_factory=list)
    is_leaving: bool = False
    retry_after: str = ""
    limit: str = ""
    calls: int = 0
    deadly_parts: frozenset[str] = frozenset()
    deadly_bodies: frozenset[bytes] = frozenset()
    software: str = "v1"
    crash_seconds: float = 0.002
    crash_after_events: int = 0
    crash_after_bytes: int = 0
    crashes_in_prefill: bool = False
    on_crash: Callable[["PlatformEngine"], None] = lambda engine: None
    is_crashed: bool = False
    late_copies: LateCopies = field(default_factory=LateCopies)
    names_refused: bool = True

    async def serve(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to serve and return the address as IP:PORT."""
        self._server = HttpServer(self._handle, ServerLimits)
        await self._server.listen(host, port)
        self.address = f"{host}:{self._server.port}"
        return self.address

    async def close(self) -> None:
        """Stop the server."""
        await self._server.close()

    def crash(self) -> None:
        """End as a process that crashes: refuse connections and lose those that are open."""
        self.is_crashed = True
        self._server.abort()
        self.on_crash(self)

    async def restart(self) -> None:
        """Start again after a crash, under the same id and at the same address."""
        host, _, port = self.address.rpartition(":")
        self.is_crashed = False
        self.born += 1
        self.sequence = 0
        self.holds.clear()
        await self.serve(host, int(port))

    def entry(self, state: str = "ready") -> bytes:
        """Return the next entry that the engine writes about itself to the engine list."""
        self.sequence += 1
        item = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.software,
            "slotCount": 6,
            "state": state,
            "coldRemainingMs": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        if self.stage:
            item["stage"] = self.stage
        return json.dumps(item).encode()

    def event(self, number: int) -> bytes:
        """Return an event of a stream."""
        return f"id: {number}\ndata: piece {number}\n\n".encode()

    async def _handle(self, request: HttpRequest, reply: Reply) -> None:
        served = await self.late_copies.begin(request, reply)
        await self._handle_request(request, reply)
        self.late_copies.end(served, reply)

    async def _handle_request(self, request: HttpRequest, reply: Reply) -> None:
        header_list = tuple(
            (name.decode().lower(), value.decode(errors="surrogateescape"))
            for name, value in request.headers
        )
        headers = dict(header_list)
        target = request.target.decode()
        self.calls += 1
        if self.is_leaving:
            reply.default_headers = ((b"Server-Leaving", b"1"),)
        if self.limit:
            reply.default_headers += ((b"Server-Limit", self.limit.encode()),)
        if self.retry_after:
            pause = (b"Retry-After", self.retry_after.encode())
            self._refuse(503, request, reply, pause)
        elif headers.get("pimentoquay-expect-instance", self.id) != self.id:
            self._refuse(421, request, reply)
        elif target == "/api/hold-take":
            self._create_hold(json.loads(request.body)["tokens"], reply)
        elif target.startswith("/api/hold-drop/"):
            self.holds.pop(target.rpartition("/")[2], None)
            reply.send(200, (), b"{}")
        elif target == "/api/report":
            reply.send(200, (), json.dumps({"stage": self.stage, "born": self.born}).encode())
        elif target == "/api/order":
            self._apply_order(json.loads(request.body), reply)
        elif target.startswith("/api/kv-handle/"):
            reply.send(200, (), b"{}")
        else:
            method = request.method.decode()
            arrival = Arrival(method, target, headers, request.body, header_list)
            self.arrivals.append(arrival)
            await self._respond(arrival, request, reply)

    def _refuse(self, status: int, request: HttpRequest, reply: Reply, *headers: tuple) -> None:
        """Refuse a request, with its id, or a management call, which has none."""
        request_id = find_header(request.headers, b"pimentoquay-request-id")
        if request_id and self.names_refused:
            headers += ((b"Pimentoquay-Request-Id", request_id),)
        instance = (b"Pimentoquay-Instance-Id", self.id.encode())
        proof = instance if status == 421 else (b"Pimentoquay-Not-Executed", b"1")
        reply.send(status, (*headers, proof), b"")

    def _create_hold(self, tokens: int, reply: Reply) -> None:
        if sum(self.holds.values()) + tokens > self.capacity:
            reply.send(503, ((b"Pimentoquay-Not-Executed", b"1"),), b"")
            return
        hold = f"h{self.calls}"
        self.holds[hold] = tokens
        reply.send(200, (), json.dumps({"hold": hold}).encode())

    def _apply_order(self, order: dict, reply: Reply) -> None:
        newest = max((each["fence"] for each in self.orders), default=-1)
        if order["fence"] < newest:
            reply.send(412, (), b"")
            return
        self.orders.append(order)
        self.stage = order["stage"]
        reply.send(202, (), b"{}")

    async def _respond(self, arrival: Arrival, request: HttpRequest, reply: Reply) -> None:
        behaviour = self.behaviour(arrival)
        request_id = find_header(request.headers, b"pimentoquay-request-id") or b""
        headers = (
            (b"Pimentoquay-Request-Id", request_id),
            (b"Pimentoquay-Server-Stamp", f"stamp-{self.id}".encode()),
        )
        altered = {
            Behaviour.UNSIGNED: (headers[:1], b"not an engine's"),
            Behaviour.ENCODED: ((*headers, (b"Content-Encoding", b"gzip")), b"packed"),
        }
        if behaviour is Behaviour.SHED:
            self._refuse(503, request, reply)
        elif behaviour is Behaviour.MISDIRECTED:
            self._refuse(421, request, reply)
        elif behaviour is Behaviour.FAIL:
            reply.send(500, headers, b"failed")
        elif behaviour is Behaviour.RESET:
            reply.abort()
        elif behaviour is Behaviour.MUTE:
            await self._wait_for_caller()
        elif behaviour in altered:
            reply.send(200, *altered[behaviour])
        elif behaviour in UNFRAMED and not arrival.is_prefill:
            await self._send_unframed(behaviour, headers, reply)
        elif self.stage and not arrival.is_prefill:
            await self._stream(arrival, behaviour, headers, reply)
        else:
            await self._answer(arrival, headers, reply)

    async def _answer(
        self, arrival: Arrival, headers: tuple[tuple[bytes, bytes], ...], reply: Reply
    ) -> None:
        """Answer a plain call or a prefill."""
        if self._is_deadly(arrival):
            if self.crash_after_bytes:
                reply.start(200, headers)
                reply.write(b"x" * self.crash_after_bytes)
            await asyncio.sleep(self.crash_seconds)
            self.crash()
        elif arrival.is_prefill:
            answer = {"kvHandle": f"kv{len(self.arrivals)}", "tokens": 10, "version": 1}
            reply.send(200, headers[:1], json.dumps(answer).encode())
        else:
            reply.send(200, headers, b"answer of " + self.id.encode())

    def _is_deadly(self, arrival: Arrival) -> bool:
        """Return whether the engine crashes under a request."""
        is_run = self.crashes_in_prefill or not arrival.is_prefill
        return is_run and arrival.body in self.deadly_bodies

    async def _send_unframed(
        self, behaviour: Behaviour, headers: tuple[tuple[bytes, bytes], ...], reply: Reply
    ) -> None:
        """Send an answer whose end is that of its connection, past the server's framing."""
        transport = reply._connection._transport
        lines = [b"HTTP/1.1 200 OK", *(b": ".join(pair) for pair in headers), b"", b""]
        transport.write(b"\r\n".join(lines))
        count = self.events if behaviour is Behaviour.UNFRAMED else 3
        events = map(self.event, range(1, count + 1))
        body = b"".join(events) if self.stage else b"answer of " + self.id.encode()
        if behaviour is Behaviour.UNFRAMED_HALF_EVENT:
            body = body[:-4]
        elif behaviour in (Behaviour.UNFRAMED_EMPTY, Behaviour.UNFRAMED_CRASH):
            body = b""
        transport.write(body)
        await asyncio.sleep(0.02)
        if behaviour is Behaviour.UNFRAMED_RESET:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            transport.abort()
        else:
            transport.close()
        if behaviour is Behaviour.UNFRAMED_CRASH:
            self.crash()

    async def _wait_for_caller(self) -> None:
        self.running += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.running -= 1
            self.incomplete_responses += 1

    async def _stream(
        self,
        arrival: Arrival,
        behaviour: Behaviour,
        headers: tuple[tuple[bytes, bytes], ...],
        reply: Reply,
    ) -> None:
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        self.running += 1
        is_complete = False
        try:
            reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
            if self.deadly_parts.intersection(arrival.parts):
                # The head leaves the process before it ends.
                await asyncio.sleep(0.002)
                self.crash()
                return
            first = int(arrival.headers.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                if self._is_deadly(arrival) and number == first + self.crash_after_events:
                    # What was written leaves the process before it ends.
                    await asyncio.sleep(self.crash_seconds)
                    self.crash()
                    return
                is_half = behaviour is Behaviour.HALF_EVENT and number == 3
                if is_half:
                    reply.write(b"id: 3\nda")
                if is_half or (behaviour is Behaviour.BREAK and number == 4):
                    reply.abort()
                    return
                reply.write(self.event(number))
                await asyncio.sleep(self.pause)
            reply.end()
            is_complete = True
        finally:
            self.running -= 1
            self.incomplete_responses += not is_complete
