"""One caller's request, with the retries and resumes of a sensible client.

A try that could not be sent goes to another entry at once. A stream that broke is resumed through
another entry by request id and offset; if no stream is found there and no token had come, the
request is sent anew under a new id. A call that may run only once is repeated only under its
idempotency key. A refusal is final.
"""

import json
import random
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

from pimentoquay.bench.answers import DONE_FRAME, text_of_frames
from pimentoquay.bench.load.plan import StreamPlan
from pimentoquay.bench.load.tally import Outcome, Result
from pimentoquay.entry.request import prompt_of_messages, token_count
from pimentoquay.kernel import Clock, ResultCode
from pimentoquay.kernel.http_peer import BufferedResponse, HttpError, HttpPeer
from pimentoquay.standin import answer_text

__all__ = ["Caller"]

TRY_SECONDS = 60.0
"""How long an answer's head may take."""

FRAME_END = b"\n\n"
WORDS = ("tray", "jam", "toner", "fuser", "feeder", "roller", "sensor", "braille", "page")


@dataclass
class _Progress:
    """What one request has got so far."""

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
        The stream.
    peers
        A connection pool for each entry.
    tries
        Tries of one request.
    rng, clock
        Chance and time.
    """

    def __init__(
        self,
        plan: StreamPlan,
        peers: tuple[HttpPeer, ...],
        tries: int,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._plan = plan
        self._peers = peers
        self._tries = tries
        self._rng = rng
        self._clock = clock
        self._shared = self._text(plan.shared_tokens * 4)

    async def send(self, name: str) -> Result:
        """Send one request under an id made of ``name`` and return what became of it."""
        progress = _Progress(self._clock.now(), name)
        prompt = self._prompt()
        progress.prompt_tokens = token_count(prompt)
        leaves = self._rng.random() < self._plan.cancel_share
        leave_after = self._rng.randrange(0, max(1, self._plan.max_tokens // 2)) if leaves else None
        peers = self._rng.sample(self._peers, len(self._peers))
        for number in range(self._tries):
            peer = peers[number % len(peers)]
            result = await self._try(peer, progress, prompt, leave_after, number)
            if result is not None:
                return result
        outcome = Outcome.UNKNOWN if self._plan.once_only else Outcome.INCOMPLETE
        return self._result(progress, outcome, 0)

    async def _try(
        self,
        peer: HttpPeer,
        progress: _Progress,
        prompt: str,
        leave_after: int | None,
        number: int,
    ) -> Result | None:
        """Try once; ``None`` if another try may help."""
        progress.request_ids.append(f"{self._plan.workspace}/{progress.request_id}")
        try:
            if self._plan.endpoint == "service":
                return await self._call(peer, progress, prompt)
            if not self._plan.streaming:
                return await self._ask_whole(peer, progress, prompt)
            return await self._stream(peer, progress, prompt, leave_after)
        except HttpError as error:
            progress.detail = str(error)
            progress.is_sent |= error.written
            if error.written and self._plan.once_only and not self._plan.keyed:
                return self._result(progress, Outcome.UNKNOWN, 0)
            if error.written and not self._plan.streaming:
                progress.request_id = f"{progress.request_ids[0].partition('/')[2]}.{number + 1}"
            return None

    async def _stream(
        self, peer: HttpPeer, progress: _Progress, prompt: str, leave_after: int | None
    ) -> Result | None:
        headers = self._headers(progress)
        if progress.is_sent:
            headers["x-resume-offset"] = str(progress.tokens)
        path = "/v1/chat/completions" if self._plan.endpoint == "chat" else "/v1/completions"
        body = json.dumps(self._body(prompt)).encode()
        stream = await peer.open_stream(path, TRY_SECONDS, body, headers)
        if isinstance(stream, BufferedResponse):
            return self._on_error(progress, stream)
        progress.resumed += progress.is_sent
        progress.is_sent = True
        async with aclosing(stream.chunks()) as chunks:
            async for chunk in chunks:
                progress.last_at = self._clock.now()
                progress.first_at = progress.first_at or progress.last_at
                progress.received += chunk
                if leave_after is not None and progress.tokens > leave_after:
                    return self._result(progress, Outcome.CANCELLED, int(ResultCode.CANCELLED))
        return self._judge(progress, prompt, bytes(progress.received))

    def _judge(self, progress: _Progress, prompt: str, frames: bytes) -> Result | None:
        if not frames.endswith(DONE_FRAME):
            return self._on_broken(progress, frames)
        expected = answer_text(prompt, self._plan.max_tokens)
        is_right = text_of_frames(frames) == expected and frames.count(DONE_FRAME) == 1
        return self._result(progress, Outcome.ANSWERED if is_right else Outcome.WRONG, 100)

    def _on_broken(self, progress: _Progress, frames: bytes) -> Result | None:
        """Take a stream that ended early: with an error event it is over, else it may go on."""
        last = frames.rstrip().rpartition(FRAME_END)[2]
        if last.startswith(b'data: {"error"'):
            error = json.loads(last[len(b"data: ") :])["error"]
            progress.detail = error["message"]
            return self._result(progress, Outcome.INCOMPLETE, error["result_code"])
        return None

    async def _ask_whole(self, peer: HttpPeer, progress: _Progress, prompt: str) -> Result | None:
        path = "/v1/chat/completions" if self._plan.endpoint == "chat" else "/v1/completions"
        body = json.dumps(self._body(prompt)).encode()
        answer = await peer.request("POST", path, TRY_SECONDS, body, self._headers(progress))
        if answer.status != 200:
            return self._on_error(progress, answer)
        progress.first_at = progress.last_at = self._clock.now()
        choice = json.loads(answer.body)["choices"][0]
        text = choice["message"]["content"] if self._plan.endpoint == "chat" else choice["text"]
        is_right = text == answer_text(prompt, self._plan.max_tokens)
        return self._result(progress, Outcome.ANSWERED if is_right else Outcome.WRONG, 100)

    async def _call(self, peer: HttpPeer, progress: _Progress, prompt: str) -> Result | None:
        body: dict[str, Any] = {"item": prompt[:40]}
        headers = self._headers(progress)
        if self._plan.once_only and self._plan.keyed:
            key = progress.request_ids[0]
            body["idempotency_key"] = headers["idempotency-key"] = key
        data = json.dumps(body).encode()
        path = f"/services/{self._plan.path}"
        answer = await peer.request("POST", path, TRY_SECONDS, data, headers)
        if answer.status != 200:
            return self._on_error(progress, answer)
        progress.first_at = progress.last_at = self._clock.now()
        answered_id = json.loads(answer.body).get("request_id")
        is_right = answered_id in progress.request_ids
        return self._result(progress, Outcome.ANSWERED if is_right else Outcome.WRONG, 100)

    def _on_error(self, progress: _Progress, answer: BufferedResponse) -> Result | None:
        try:
            error = json.loads(answer.body)["error"]
        except (ValueError, KeyError, TypeError):
            progress.detail = f"status {answer.status} without a numbered error"
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
        first = progress.first_at - progress.started_at if progress.first_at else None
        interval = None
        if self._plan.streaming and progress.tokens > 3:
            interval = (progress.last_at - progress.first_at) / (progress.tokens - 3)
        return Result(
            self._plan,
            outcome,
            code,
            tuple(progress.request_ids),
            tuple(progress.refused_ids),
            first,
            interval,
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

    def _prompt(self) -> str:
        """Return a new prompt as the engine gets it."""
        plan = self._plan
        tokens = self._rng.randint(
            plan.prompt_tokens_low, max(plan.prompt_tokens_low, plan.prompt_tokens_high)
        )
        size = max(8, tokens * 4 - len(self._shared) - len("user: "))
        text = self._shared + self._text(size)
        if plan.endpoint == "chat":
            return prompt_of_messages([{"role": "user", "content": text}])
        return text

    def _text(self, size: int) -> str:
        words: list[str] = []
        length = 0
        while length < size:
            words.append(f"{self._rng.choice(WORDS)}{self._rng.randrange(100)} ")
            length += len(words[-1])
        return "".join(words)[:size]
