"""Simulated callers of the HTTP applications of entry processes, and records of their calls."""

import asyncio
import dataclasses
import json
import random
from typing import Any

from pimentoquay.bench.faults.cluster import KEY, MODEL, SERVICE, FaultCluster
from pimentoquay.bench.faults.records import Call, CallKind, CallRecord, Ending
from pimentoquay.bench.response_frames import DONE_FRAME
from pimentoquay.entry.compose import EntryProcess
from pimentoquay.kernel import ResultCode

__all__ = ["make_calls", "run_call"]

MAX_RESUMES = 3
"""Maximum number of retries of a call whose connection was lost."""

RESUME_DELAY_SECONDS = 0.3
"""Delay before a call whose connection was lost is retried, in seconds."""

CALLS_PER_SECOND = 4.0
DISCONNECTING_CALL_SHARE = 0.12
"""Share of calls whose caller disconnects before the answer is complete."""

REPEATED_CALL_SHARE = 0.5
"""Share of plain calls that are repeated through another VM with the same idempotency key."""

LONG_ANSWER_SHARE = 0.25
"""Share of long answers among streams whose caller stays connected.

If the caller of a stream disconnects, the requested answer is always long.
"""

LONG_ANSWER_TOKENS = 80
"""Length of a long answer in tokens; it holds KV cache for long unless it is cancelled."""


def make_calls(seed: int, seconds: float) -> tuple[Call, ...]:
    """Return the calls for ``seconds`` of a schedule; the same seed gives the same calls."""
    rng = random.Random(f"calls {seed}")
    calls: list[Call] = []
    for number in range(int(seconds * CALLS_PER_SECOND)):
        at = number / CALLS_PER_SECOND
        previous = calls[-1] if calls else None
        if (
            previous is not None
            and previous.kind is CallKind.PLAIN
            and rng.random() < REPEATED_CALL_SHARE
        ):
            calls.append(dataclasses.replace(previous, number=number, at=at, vm=previous.vm + 1))
        else:
            calls.append(_make_call(rng, number, at))
    return tuple(calls)


def _make_call(rng: random.Random, number: int, at: float) -> Call:
    kind = rng.choices(list(CallKind), (10, 4, 3, 3))[0]
    shared = f"manual {rng.randrange(4)} " * 40
    prompt = shared + f"log {number} " * rng.randrange(1, 120)
    leaves_after = rng.uniform(0.05, 1.5) if rng.random() < DISCONNECTING_CALL_SHARE else 0.0
    is_long = kind is CallKind.STREAM and (leaves_after > 0 or rng.random() < LONG_ANSWER_SHARE)
    max_tokens = LONG_ANSWER_TOKENS if is_long else rng.randrange(4, 24)
    return Call(
        number, at, kind, rng.randrange(1000), prompt, max_tokens, leaves_after, f"key-{number}"
    )


async def run_call(cluster: FaultCluster, call: Call) -> CallRecord | None:
    """Make a call through a ready VM and record its result; return ``None`` if no VM is ready."""
    selected = _select_entry(cluster, call.vm)
    if selected is None:
        return None
    loop = asyncio.get_running_loop()
    record = CallRecord(call, loop.time())
    cluster.records.append(record)
    try:
        async with asyncio.timeout(call.leaves_after or None):
            await _exchange(cluster, record, *selected)
    except TimeoutError:
        record.ending = Ending.LEFT
    record.ended_at = loop.time()
    return record


def _select_entry(cluster: FaultCluster, vm_index: int) -> tuple[str, EntryProcess] | None:
    ready = [(name, entry) for name in cluster.vms if (entry := cluster.entry_of(name)) is not None]
    return ready[vm_index % len(ready)] if ready else None


async def _exchange(
    cluster: FaultCluster, record: CallRecord, vm: str, entry: EntryProcess
) -> None:
    """Make a call, and retry a lost plain call or resume a lost stream through a ready VM."""
    for _ in range(1 + MAX_RESUMES):
        record.vms = (*record.vms, vm)
        is_resumed = len(record.vms) > 1 and record.call.kind is CallKind.STREAM
        offset = len(record.text.split()) if is_resumed else None
        exchange = _Exchange(cluster, entry, record.call, offset)
        try:
            await exchange.run()
        finally:
            record.was_draining |= entry.http.draining
            exchange.record_result(record)
        can_retry = record.call.kind in (CallKind.STREAM, CallKind.PLAIN)
        if record.ending is not Ending.LOST or not can_retry:
            return
        await asyncio.sleep(RESUME_DELAY_SECONDS)
        selected = _select_entry(cluster, record.call.vm)
        if selected is None:
            return
        vm, entry = selected


class _Exchange:
    """HTTP request to an entry process and its response, exchanged through the ASGI interface.

    Parameters
    ----------
    offset : int or None
        Number of tokens already received, from which a lost stream is resumed; ``None`` for a
        request that is not a resumption.
    """

    def __init__(
        self, cluster: FaultCluster, entry: EntryProcess, call: Call, offset: int | None
    ) -> None:
        self._cluster = cluster
        self._entry = entry
        self._connection = cluster.connection_of(entry)
        self._call = call
        self._offset = offset
        self._is_body_sent = False
        self._status = 0
        self._headers: dict[bytes, bytes] = {}
        self._body = b""
        self._is_ended = False

    async def run(self) -> None:
        """Run until the response ends, the entry process ends, or the caller disconnects."""
        self._connection.begin_exchange()
        app = self._entry.http.app(self._scope(), self._receive, self._send)
        app_task = asyncio.ensure_future(app)
        ended = asyncio.ensure_future(self._connection.ended.wait())
        try:
            await asyncio.wait({app_task, ended}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._connection.end_exchange()
            ended.cancel()
            app_task.cancel()
            await asyncio.wait({app_task})
            if not app_task.cancelled() and app_task.exception() is not None:
                self._cluster.errors.append(f"{self._call.request_id}: {app_task.exception()!r}")

    def record_result(self, record: CallRecord) -> None:
        """Add the response, as far as the caller received it, to the record of the call."""
        is_stream = self._headers.get(b"content-type", b"").startswith(b"text/event-stream")
        if is_stream:
            self._record_stream(record)
        elif not self._is_ended:
            record.ending = Ending.LOST
        elif self._status == 200:
            record.ending = Ending.ANSWERED
            record.code = ResultCode.OK
            record.text = self._parse_answer_text()
        else:
            self._record_error(record, json.loads(self._body))

    def _record_stream(self, record: CallRecord) -> None:
        record.ending = Ending.LOST
        for frame in self._body.split(b"\n\n"):
            if frame == DONE_FRAME.rstrip():
                record.ending, record.code = Ending.ANSWERED, ResultCode.OK
                continue
            if not frame.startswith(b"data: {"):
                continue
            event = json.loads(frame[len(b"data: ") :])
            if "error" in event:
                self._record_error(record, event)
            else:
                record.text += event["choices"][0]["text"]

    def _record_error(self, record: CallRecord, body: dict[str, Any]) -> None:
        record.ending = Ending.ERROR
        record.code = ResultCode(body["error"]["result_code"])

    def _parse_answer_text(self) -> str:
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
        if self._is_body_sent:
            await asyncio.get_running_loop().create_future()
        self._is_body_sent = True
        return {"type": "http.request", "body": self._request_body(), "more_body": False}

    def _request_body(self) -> bytes:
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
        await self._connection.pass_through(self._connection.data_centre)
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._headers = dict(message["headers"])
        else:
            self._body += message.get("body", b"")
            self._is_ended = not message.get("more_body", False)
