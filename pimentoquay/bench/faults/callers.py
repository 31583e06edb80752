"""Callers of the entry processes' HTTP applications, and what each of them saw."""

import asyncio
import dataclasses
import json
import random
from typing import Any

from pimentoquay.bench.answers import DONE_FRAME
from pimentoquay.bench.faults.records import Call, CallKind, CallRecord, Ending
from pimentoquay.bench.faults.world import KEY, MODEL, SERVICE, FaultWorld
from pimentoquay.entry.compose import EntryProcess
from pimentoquay.kernel import ResultCode

__all__ = ["make_calls", "run_call"]

MAX_RESUMES = 3
RESUME_PAUSE_SECONDS = 0.3
CALLS_PER_SECOND = 4.0
LEAVING_SHARE = 0.12
REPEATED_SHARE = 0.5
"""The share of plain calls that their caller repeats through another VM with the same key."""

LONG_SHARE = 0.25
LONG_TOKENS = 80
"""The length of answers that would hold memory for long if nobody cancelled them."""


def make_calls(seed: int, seconds: float) -> tuple[Call, ...]:
    """Return the calls of one schedule; the same seed gives the same calls."""
    rng = random.Random(f"calls {seed}")
    calls: list[Call] = []
    for number in range(int(seconds * CALLS_PER_SECOND)):
        at = number / CALLS_PER_SECOND
        before = calls[-1] if calls else None
        if before is not None and before.kind is CallKind.PLAIN and rng.random() < REPEATED_SHARE:
            calls.append(dataclasses.replace(before, number=number, at=at, vm=before.vm + 1))
        else:
            calls.append(_make_call(rng, number, at))
    return tuple(calls)


def _make_call(rng: random.Random, number: int, at: float) -> Call:
    kind = rng.choices(list(CallKind), (10, 4, 3, 3))[0]
    shared = f"manual {rng.randrange(4)} " * 40
    prompt = shared + f"log {number} " * rng.randrange(1, 120)
    leaves_after = rng.uniform(0.05, 1.5) if rng.random() < LEAVING_SHARE else 0.0
    is_long = kind is CallKind.STREAM and (leaves_after > 0 or rng.random() < LONG_SHARE)
    max_tokens = LONG_TOKENS if is_long else rng.randrange(4, 24)
    return Call(
        number, at, kind, rng.randrange(1000), prompt, max_tokens, leaves_after, f"key-{number}"
    )


async def run_call(world: FaultWorld, call: Call) -> CallRecord | None:
    """Make a call through the balancer; ``None`` if no VM was ready for it."""
    found = _choose(world, call.vm)
    if found is None:
        return None
    loop = asyncio.get_running_loop()
    record = CallRecord(call, loop.time())
    world.records.append(record)
    try:
        async with asyncio.timeout(call.leaves_after or None):
            await _exchange(world, record, *found)
    except TimeoutError:
        record.ending = Ending.LEFT
    record.ended_at = loop.time()
    return record


def _choose(world: FaultWorld, number: int) -> tuple[str, EntryProcess] | None:
    ready = [(name, entry) for name in world.vms if (entry := world.entry_of(name)) is not None]
    return ready[number % len(ready)] if ready else None


async def _exchange(world: FaultWorld, record: CallRecord, vm: str, entry: EntryProcess) -> None:
    """Call, and go on through another VM when a stream is cut off by the end of its entry."""
    for _ in range(1 + MAX_RESUMES):
        record.vms = (*record.vms, vm)
        is_resumed = len(record.vms) > 1 and record.call.kind is CallKind.STREAM
        offset = len(record.text.split()) if is_resumed else None
        exchange = _Exchange(world, entry, record.call, offset)
        try:
            await exchange.run()
        finally:
            record.was_draining |= entry.http.draining
            exchange.tell(record)
        can_go_on = record.call.kind in (CallKind.STREAM, CallKind.PLAIN)
        if record.ending is not Ending.LOST or not can_go_on:
            return
        await asyncio.sleep(RESUME_PAUSE_SECONDS)
        found = _choose(world, record.call.vm)
        if found is None:
            return
        vm, entry = found


class _Exchange:
    """One HTTP exchange with an entry process, in the form that ASGI gives it."""

    def __init__(
        self, world: FaultWorld, entry: EntryProcess, call: Call, offset: int | None
    ) -> None:
        self._world = world
        self._entry = entry
        self._wire = world.wire_of(entry)
        self._call = call
        self._offset = offset
        self._is_body_read = False
        self._status = 0
        self._headers: dict[bytes, bytes] = {}
        self._body = b""
        self._is_ended = False

    async def run(self) -> None:
        """Run until the answer ends, the entry process ends, or the caller leaves."""
        self._wire.enter()
        app = self._entry.http.app(self._scope(), self._receive, self._send)
        work = asyncio.ensure_future(app)
        ended = asyncio.ensure_future(self._wire.ended.wait())
        try:
            await asyncio.wait({work, ended}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._wire.leave()
            ended.cancel()
            work.cancel()
            await asyncio.wait({work})
            if not work.cancelled() and work.exception() is not None:
                self._world.errors.append(f"{self._call.request_id}: {work.exception()!r}")

    def tell(self, record: CallRecord) -> None:
        """Write down what the caller saw of this exchange."""
        is_stream = self._headers.get(b"content-type", b"").startswith(b"text/event-stream")
        if is_stream:
            self._tell_stream(record)
        elif not self._is_ended:
            record.ending = Ending.LOST
        elif self._status == 200:
            record.ending = Ending.ANSWERED
            record.code = ResultCode.OK
            record.text = self._whole_text()
        else:
            self._tell_error(record, json.loads(self._body))

    def _tell_stream(self, record: CallRecord) -> None:
        record.ending = Ending.LOST
        for frame in self._body.split(b"\n\n"):
            if frame == DONE_FRAME.rstrip():
                record.ending, record.code = Ending.ANSWERED, ResultCode.OK
                continue
            if not frame.startswith(b"data: {"):
                continue
            event = json.loads(frame[len(b"data: ") :])
            if "error" in event:
                self._tell_error(record, event)
            else:
                record.text += event["choices"][0]["text"]

    def _tell_error(self, record: CallRecord, body: dict[str, Any]) -> None:
        record.ending = Ending.ERROR
        record.code = ResultCode(body["error"]["result_code"])

    def _whole_text(self) -> str:
        body = json.loads(self._body)
        return body["choices"][0]["text"] if "choices" in body else ""

    def _scope(self) -> dict[str, Any]:
        path = f"/services/{SERVICE}/orders" if self._is_plain else "/v1/completions"
        headers = [
            (b"authorization", b"Bearer " + KEY.encode()),
            (b"x-request-id", f"call-{self._call.number}".encode()),
            (b"content-type", b"application/json"),
            (b"idempotency-key", self._call.key.encode()),
        ]
        if self._offset is not None:
            headers.append((b"x-resume-offset", str(self._offset).encode()))
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": "POST",
            "scheme": "http",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "root_path": "",
            "headers": headers,
            "client": ("10.9.0.1", 1),
            "server": ("10.0.0.1", 80),
        }

    @property
    def _is_plain(self) -> bool:
        return self._call.kind is CallKind.PLAIN

    async def _receive(self) -> dict[str, Any]:
        if self._is_body_read:
            await asyncio.get_running_loop().create_future()
        self._is_body_read = True
        return {"type": "http.request", "body": self._content(), "more_body": False}

    def _content(self) -> bytes:
        call = self._call
        if self._is_plain:
            return json.dumps({"idempotency_key": call.key}).encode()
        kind = "once" if call.kind is CallKind.ONCE else "diagnosis"
        body = {
            "model": MODEL,
            "kind": kind,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": call.kind is CallKind.STREAM,
        }
        return json.dumps(body).encode()

    async def _send(self, message: Any) -> None:
        await self._wire.cross(self._wire.data_centre)
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._headers = dict(message["headers"])
        else:
            self._body += message.get("body", b"")
            self._is_ended = not message.get("more_body", False)
