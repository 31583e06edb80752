"""Requests of one caller, with the retries and resumes that a well-behaved client makes.

A request that could not be sent is retried at once through another entry. A broken stream is
resumed through another entry by request id and offset. If that entry does not know the request and
no token was received, the request is sent again under a new id. A call that may run only once is
retried only under its idempotency key. A refusal is final.
"""

import json
import random
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

from pimentoquay.bench.load.plan import StreamPlan
from pimentoquay.bench.load.tally import Outcome, Result
from pimentoquay.bench.response_frames import DONE_FRAME, text_of_frames
from pimentoquay.entry.request import prompt_of_messages, token_count
from pimentoquay.kernel import Clock, ResultCode
from pimentoquay.kernel.http_peer import BufferedResponse, HttpError, HttpPeer
from pimentoquay.standin import answer_text

__all__ = ["Caller"]

RESPONSE_TIMEOUT_SECONDS = 60.0
"""Timeout for the head of a response, in seconds."""

FRAME_END = b"\n\n"
"""End of a server-sent event."""

WORDS = ("tray", "jam", "toner", "fuser", "feeder", "roller", "sensor", "braille", "page")


@dataclass
class _Progress:
    """State of one request over its attempts; times are in seconds."""

    started_at: float
    request_id: str
    received: bytearray = field(default_factory=bytearray)
    first_at: float = 0.0
    last_at: float = 0.0
    request_ids: list[str] = field(default_factory=list)
    refused_ids: list[str] = field(default_factory=list)
    resumed: int = 0
    is_sent: bool = False
    detail: str = ""
    prompt_tokens: int = 0

    @property
    def tokens(self) -> int:
        return self.received.count(FRAME_END)


class Caller:
    """Sends the requests of one stream.

    Parameters
    ----------
    plan
        Plan of the stream.
    peers
        Connection pool of each entry.
    max_attempts
        Maximum number of attempts of one request.
    rng
        Generator that draws prompts, entries and cancellations.
    clock
        Clock that latencies are measured with.
    """

    def __init__(
        self,
        plan: StreamPlan,
        peers: tuple[HttpPeer, ...],
        max_attempts: int,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._plan = plan
        self._peers = peers
        self._max_attempts = max_attempts
        self._rng = rng
        self._clock = clock
        self._shared_prefix = self._make_text(plan.shared_tokens * 4)

    async def send(self, name: str) -> Result:
        """Send one request under the id ``name`` and return its result.

        A retry that must count as another request uses an extended id.
        """
        progress = _Progress(self._clock.now(), name)
        prompt = self._make_prompt()
        progress.prompt_tokens = token_count(prompt)
        cancels = self._rng.random() < self._plan.cancel_share
        cancel_after_tokens = (
            self._rng.randrange(0, max(1, self._plan.max_tokens // 2)) if cancels else None
        )
        peers = self._rng.sample(self._peers, len(self._peers))
        for attempt_index in range(self._max_attempts):
            peer = peers[attempt_index % len(peers)]
            result = await self._attempt(peer, progress, prompt, cancel_after_tokens, attempt_index)
            if result is not None:
                return result
        outcome = Outcome.UNKNOWN if self._plan.once_only else Outcome.INCOMPLETE
        return self._result(progress, outcome, 0)

    async def _attempt(
        self,
        peer: HttpPeer,
        progress: _Progress,
        prompt: str,
        cancel_after_tokens: int | None,
        attempt_index: int,
    ) -> Result | None:
        """Make one attempt and return its result, or ``None`` if the request should be retried."""
        progress.request_ids.append(f"{self._plan.workspace}/{progress.request_id}")
        try:
            if self._plan.endpoint == "service":
                return await self._call_service(peer, progress, prompt)
            if not self._plan.streaming:
                return await self._request_unstreamed(peer, progress, prompt)
            return await self._stream(peer, progress, prompt, cancel_after_tokens)
        except HttpError as error:
            progress.detail = str(error)
            progress.is_sent |= error.written
            if error.written and self._plan.once_only and not self._plan.keyed:
                return self._result(progress, Outcome.UNKNOWN, 0)
            if error.written and not self._plan.streaming:
                progress.request_id = (
                    f"{progress.request_ids[0].partition('/')[2]}.{attempt_index + 1}"
                )
            return None

    async def _stream(
        self, peer: HttpPeer, progress: _Progress, prompt: str, cancel_after_tokens: int | None
    ) -> Result | None:
        headers = self._headers(progress)
        if progress.is_sent:
            headers["x-resume-offset"] = str(progress.tokens)
        path = "/v1/chat/completions" if self._plan.endpoint == "chat" else "/v1/completions"
        body = json.dumps(self._body(prompt)).encode()
        stream = await peer.open_stream(path, RESPONSE_TIMEOUT_SECONDS, body, headers)
        if isinstance(stream, BufferedResponse):
            return self._handle_error_response(progress, stream)
        progress.resumed += progress.is_sent
        progress.is_sent = True
        async with aclosing(stream.chunks()) as chunks:
            async for chunk in chunks:
                progress.last_at = self._clock.now()
                progress.first_at = progress.first_at or progress.last_at
                progress.received += chunk
                if cancel_after_tokens is not None and progress.tokens > cancel_after_tokens:
                    return self._result(progress, Outcome.CANCELLED, int(ResultCode.CANCELLED))
        return self._check_stream(progress, prompt, bytes(progress.received))

    def _check_stream(self, progress: _Progress, prompt: str, frames: bytes) -> Result | None:
        if not frames.endswith(DONE_FRAME):
            return self._handle_early_end(progress, frames)
        expected = answer_text(prompt, self._plan.max_tokens)
        is_correct = text_of_frames(frames) == expected and frames.count(DONE_FRAME) == 1
        return self._result(progress, Outcome.ANSWERED if is_correct else Outcome.WRONG, 100)

    def _handle_early_end(self, progress: _Progress, frames: bytes) -> Result | None:
        """Return the result of a stream that ended early, or ``None`` if it may be resumed.

        A stream that ended with an error event cannot be resumed.
        """
        last = frames.rstrip().rpartition(FRAME_END)[2]
        if last.startswith(b'data: {"error"'):
            error = json.loads(last[len(b"data: ") :])["error"]
            progress.detail = error["message"]
            return self._result(progress, Outcome.INCOMPLETE, error["result_code"])
        return None

    async def _request_unstreamed(
        self, peer: HttpPeer, progress: _Progress, prompt: str
    ) -> Result | None:
        path = "/v1/chat/completions" if self._plan.endpoint == "chat" else "/v1/completions"
        body = json.dumps(self._body(prompt)).encode()
        response = await peer.request(
            "POST", path, RESPONSE_TIMEOUT_SECONDS, body, self._headers(progress)
        )
        if response.status != 200:
            return self._handle_error_response(progress, response)
        progress.first_at = progress.last_at = self._clock.now()
        choice = json.loads(response.body)["choices"][0]
        text = choice["message"]["content"] if self._plan.endpoint == "chat" else choice["text"]
        is_correct = text == answer_text(prompt, self._plan.max_tokens)
        return self._result(progress, Outcome.ANSWERED if is_correct else Outcome.WRONG, 100)

    async def _call_service(
        self, peer: HttpPeer, progress: _Progress, prompt: str
    ) -> Result | None:
        body: dict[str, Any] = {"item": prompt[:40]}
        headers = self._headers(progress)
        if self._plan.once_only and self._plan.keyed:
            key = progress.request_ids[0]
            body["idempotency_key"] = headers["idempotency-key"] = key
        data = json.dumps(body).encode()
        path = f"/services/{self._plan.path}"
        response = await peer.request("POST", path, RESPONSE_TIMEOUT_SECONDS, data, headers)
        if response.status != 200:
            return self._handle_error_response(progress, response)
        progress.first_at = progress.last_at = self._clock.now()
        response_id = json.loads(response.body).get("request_id")
        is_correct = response_id in progress.request_ids
        return self._result(progress, Outcome.ANSWERED if is_correct else Outcome.WRONG, 100)

    def _handle_error_response(
        self, progress: _Progress, response: BufferedResponse
    ) -> Result | None:
        try:
            error = json.loads(response.body)["error"]
        except (ValueError, KeyError, TypeError):
            progress.detail = f"status {response.status} without a numbered error"
            return self._result(progress, Outcome.INCOMPLETE, 0)
        code, progress.detail = error["result_code"], error["message"]
        if code == ResultCode.REQUEST_UNKNOWN and progress.is_sent and not progress.received:
            progress.is_sent = False
            progress.request_id += ".again"
            return None
        if code in (ResultCode.OUTCOME_UNKNOWN, ResultCode.KEY_ALREADY_RUN):
            outcome = Outcome.UNKNOWN if self._plan.once_only else Outcome.INCOMPLETE
            return self._result(progress, outcome, code)
        if error["not_run"] and not progress.received:
            if not progress.is_sent:
                progress.refused_ids.append(progress.request_ids[-1])
            return self._result(progress, Outcome.REFUSED, code)
        return self._result(progress, Outcome.INCOMPLETE, code)

    def _result(self, progress: _Progress, outcome: Outcome, code: int) -> Result:
        first_token = progress.first_at - progress.started_at if progress.first_at else None
        token_interval = None
        if self._plan.streaming and progress.tokens > 3:
            token_interval = (progress.last_at - progress.first_at) / (progress.tokens - 3)
        return Result(
            self._plan,
            outcome,
            code,
            tuple(progress.request_ids),
            tuple(progress.refused_ids),
            first_token,
            token_interval,
            progress.resumed,
            progress.detail,
            progress.prompt_tokens,
        )

    def _headers(self, progress: _Progress) -> dict[str, str]:
        headers = {
            "authorization": f"Bearer {self._plan.key}",
            "content-type": "application/json",
            "x-request-id": progress.request_id,
        }
        if self._plan.kind:
            headers["x-request-kind"] = self._plan.kind
        return headers

    def _body(self, prompt: str) -> dict[str, Any]:
        body: dict[str, Any] = {
            "model": self._plan.model,
            "max_tokens": self._plan.max_tokens,
            "stream": self._plan.streaming,
        }
        if self._plan.endpoint == "chat":
            body["messages"] = [{"role": "user", "content": prompt.removeprefix("user: ")}]
        else:
            body["prompt"] = prompt
        return body

    def _make_prompt(self) -> str:
        """Return a new prompt, as the engine receives it."""
        plan = self._plan
        tokens = self._rng.randint(
            plan.prompt_tokens_low, max(plan.prompt_tokens_low, plan.prompt_tokens_high)
        )
        size = max(8, tokens * 4 - len(self._shared_prefix) - len("user: "))
        text = self._shared_prefix + self._make_text(size)
        if plan.endpoint == "chat":
            return prompt_of_messages([{"role": "user", "content": text}])
        return text

    def _make_text(self, size: int) -> str:
        words: list[str] = []
        length = 0
        while length < size:
            words.append(f"{self._rng.choice(WORDS)}{self._rng.randrange(100)} ")
            length += len(words[-1])
        return "".join(words)[:size]
