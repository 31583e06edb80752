"""Execution of one request: placement, prefill, KV transfer, decode, retries and clean-up."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

from pimentoquay.backends.base import EngineLostError
from pimentoquay.entry.answer_progress import AnswerProgress
from pimentoquay.entry.attempt import Attempt, HeldKv, StageFailedError
from pimentoquay.entry.failure_rules import (
    correct_not_run_code,
    error_after_failed_stage,
    may_run_again,
    settled_code,
)
from pimentoquay.entry.key_claims import Claim
from pimentoquay.entry.metrics import RequestOutcome
from pimentoquay.entry.placer import Placement
from pimentoquay.entry.replay import ReplayMismatchError
from pimentoquay.entry.request import RequestSpec, final_trigger
from pimentoquay.entry.stall import detect_stall
from pimentoquay.entry.time_limits import TimeLimits
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.placement import Grant, Release, Stage

if TYPE_CHECKING:
    from pimentoquay.entry.service import RequestService

__all__ = ["RequestRun"]

MAX_ATTEMPTS = 6
"""Maximum number of attempts of one request, including the first."""

SPEED_SAMPLE_TOKENS = 8
"""Number of tokens after the first over which the engine's decode speed is measured."""

MAX_RESUME_TRIES = 3
"""Maximum number of times that a broken stream is resumed on its engine."""

RESUME_PAUSE_SECONDS = 0.05
"""Pause between two tries to resume a stream, in seconds."""


class RequestRun:
    """One request in progress.

    ``RequestStateMachine`` sets ``state`` and the trigger methods ``admit``, ``prefill``,
    ``transfer`` and ``decode``.

    Parameters
    ----------
    service
        The service that runs the request.
    spec
        The checked request.

    Attributes
    ----------
    progress
        The tokens relayed so far.
    may_have_run
        Whether an engine may have run any part of the request.
    """

    state: str
    admit: Callable[[], bool]
    prefill: Callable[[], bool]
    transfer: Callable[[], bool]
    decode: Callable[[], bool]

    def __init__(self, service: RequestService, spec: RequestSpec) -> None:
        self._service = service
        self._node = service.node
        self._link = service.link
        self.spec = spec
        self.progress = AnswerProgress(spec)
        self.may_have_run = False
        self._claim: Claim | None = None
        self._placement: Placement | None = None
        self._attempts: list[Attempt] = []
        self._received_at = self._node.clock.now()
        self._time_limits = TimeLimits(spec, self._received_at)
        self._admitted_at = 0.0
        self._first_token_at = 0.0
        self._is_speed_reported = False

    def frames(self) -> AsyncIterator[bytes]:
        """Place and run the request, and yield the frames of its answer."""
        return self._relay_and_finish(self._run())

    def resumed_frames(self, offset: int) -> AsyncIterator[bytes]:
        """Find the request's running stream and yield its frames from token ``offset`` on."""
        return self._relay_and_finish(self._run_resumed(offset))

    async def _relay_and_finish(self, answer: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Relay an answer, and finish the request exactly once even if it fails or is cancelled."""
        self._begin()
        code = ResultCode.CANCELLED
        try:
            async with aclosing(answer) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    yield chunk
            code = ResultCode.OK
        except PimentoquayError as error:
            corrected = correct_not_run_code(self.spec, error, self.may_have_run)
            code = corrected.code
            if corrected is error:
                raise
            raise corrected from error
        except Exception as error:
            code = ResultCode.INTERNAL
            logger.bind(request_id=self.spec.request_id).exception("the request failed")
            raise PimentoquayError(code, repr(error)) from error
        finally:
            self._end(code)

    async def _run(self) -> AsyncIterator[bytes]:
        if self.spec.idempotency_key:
            self._claim = await self._service.claims.claim(
                self.spec.workspace, self.spec.idempotency_key, self.spec.request_id
            )
        grant, kv = await self._place(), None
        while True:
            try:
                attempt = self._new_attempt(grant)
                kv = await self._prepare_kv(attempt, kv)
                relay = self._relay_stream if self.spec.streaming else self._relay_whole
                async with aclosing(relay(attempt, kv)) as chunks:  # type: ignore[type-var]
                    async for chunk in chunks:
                        yield chunk
                return
            except StageFailedError as failure:
                grant = await self._request_replacement(failure)
                kv = failure.kv

    async def _place(self) -> Grant:
        self._placement = await self._service.placer.place(
            self.spec, self._time_limits.first_token_deadline
        )
        self._admitted_at = self._node.clock.now()
        self.admit()
        self._record_placed(self._placement.grant)
        return self._placement.grant

    def _new_attempt(self, grant: Grant) -> Attempt:
        assert self._placement is not None
        attempt = Attempt(
            self._node,
            self._link,
            self._service.engine_of,
            self.spec,
            self._placement.shard,
            grant,
            self._time_limits.first_token_deadline,
            self._service.transfer_durations,
        )
        self._attempts.append(attempt)
        return attempt

    async def _prepare_kv(self, attempt: Attempt, kv: HeldKv | None) -> HeldKv:
        """Make the KV cache available on the decode engine.

        Prefill is skipped if the grant's prefill engine already holds ``kv``. Returns the KV cache
        as held by the prefill engine.
        """
        grant = attempt.grant
        if kv is None or kv.engine != grant.prefill_engine:
            self.prefill()
            self._record("prefill", grant.prefill_engine)
            kv = await self._run_stage(attempt.prefill())
        if grant.prefill_engine != grant.decode_engine:
            self.transfer()
            self._record("transfer", f"{grant.prefill_engine} to {grant.decode_engine}")
            await self._run_stage(attempt.transfer(kv))
        return kv

    async def _run_stage(self, stage: Coroutine[Any, Any, Any]) -> Any:
        """Await a stage and set ``may_have_run`` unless the engine proved that nothing ran."""
        ran_before, self.may_have_run = self.may_have_run, True
        try:
            return await stage
        except StageFailedError as failure:
            self.may_have_run = ran_before or failure.may_have_run
            raise

    async def _relay_stream(self, attempt: Attempt, kv: HeldKv) -> AsyncIterator[bytes]:
        """Decode and relay each chunk of the answer as it arrives."""
        self.decode()
        self._record("decode", attempt.grant.decode_engine)
        async with aclosing(attempt.decode(kv)) as stream:  # type: ignore[type-var]
            chunk = await self._run_stage(attempt.first_chunk(stream))
            if not self._first_token_at:
                self._first_token_at = self._node.clock.now()
                self._record("first-token")
            if new_frames := self.progress.accept(chunk):
                yield new_frames
            async for chunk in self._relay_rest(stream):
                yield chunk
                if not self._is_speed_reported and self.progress.tokens > SPEED_SAMPLE_TOKENS:
                    self._report_speed(attempt)
        if not self.progress.is_complete:
            async for chunk in self._resume_stream(attempt):
                yield chunk

    def _report_speed(self, attempt: Attempt) -> None:
        self._is_speed_reported = True
        seconds = self._node.clock.now() - self._first_token_at
        attempt.report_decode(self.progress.tokens - 1, seconds)

    async def _relay_whole(self, attempt: Attempt, kv: HeldKv) -> AsyncIterator[bytes]:
        """Relay the whole answer at once, so that a failure before the end can be retried."""
        try:
            chunks = [chunk async for chunk in self._relay_stream(attempt, kv)]
        except StageFailedError:
            raise
        except PimentoquayError as error:
            self.progress.restart()
            raise StageFailedError(Stage.DECODE, attempt.grant.decode_engine, error) from error
        yield b"".join(chunks)

    async def _relay_rest(self, stream: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Relay a stream until the answer is complete or the stream breaks.

        The caller has to check ``progress.is_complete``: a broken stream ends without an error.
        """
        if self.progress.is_complete:
            return
        try:
            interval = self.spec.kind.token_interval_target
            async with aclosing(detect_stall(stream, interval)) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    if new_frames := self.progress.accept(chunk):
                        yield new_frames
                    if self.progress.is_complete:
                        return
        except ReplayMismatchError:
            raise
        except PimentoquayError as error:
            logger.bind(request_id=self.spec.request_id).warning(f"stream broken: {error}")

    async def _resume_stream(self, attempt: Attempt) -> AsyncIterator[bytes]:
        """Resume a broken stream on the same engine, from the token reached.

        If that fails ``MAX_RESUME_TRIES`` times, raise ``StageFailedError`` so that the request is
        run again elsewhere, or ``STREAM_BROKEN`` if it must not be run again.
        """
        for _ in range(MAX_RESUME_TRIES):
            stream = attempt.resume(self.progress.position)
            async with aclosing(stream) as stream:  # type: ignore[type-var]
                async for chunk in self._relay_rest(stream):
                    yield chunk
            if self.progress.is_complete:
                return
            await self._node.timers.sleep(RESUME_PAUSE_SECONDS)
        engine = attempt.grant.decode_engine
        lost = EngineLostError(f"{engine} was lost after {self.progress.tokens} tokens")
        if not self.progress.can_be_replayed:
            raise PimentoquayError(ResultCode.STREAM_BROKEN, lost.detail)
        self.progress.start_replay()
        raise StageFailedError(Stage.DECODE, engine, lost)

    async def _run_resumed(self, offset: int) -> AsyncIterator[bytes]:
        self._placement = await self._service.placer.find(
            self.spec, self._time_limits.first_token_deadline
        )
        self.progress.start_at(offset)
        self.may_have_run = True
        self.decode()
        attempt = self._new_attempt(self._placement.grant)
        attempt.hold(Stage.DECODE)
        self._link.announce(self._placement.shard)
        self._first_token_at = self._node.clock.now()
        async for chunk in self._resume_stream(attempt):
            yield chunk

    async def _request_replacement(self, failure: StageFailedError) -> Grant:
        """Return a new grant after a failed stage, or raise the request's final error."""
        self._record("stage-failed", failure.detail)
        last = self._attempts[-1]
        is_second_transfer = failure.kv is not None and failure.kv.attempt != last.grant.attempt
        if is_second_transfer and failure.may_have_run:
            # A second transfer from the same source failed, so the source is the likely cause.
            failure.kv = None
        self._service.free(last, keep=failure.kv)
        if not self._may_try_again(failure):
            raise self._final_error(failure)
        if self._first_token_at:
            self._time_limits.extend_first_token_deadline(self._node.clock.now())
        assert self._placement is not None
        try:
            self._placement = await self._service.placer.replace(
                self.spec,
                self._placement,
                failure,
                last.grant.attempt + 1,
                self._time_limits.first_token_deadline,
            )
        except RefusedError as refusal:
            if not self.may_have_run:
                raise
            raise self._final_error(failure) from refusal
        grant = self._placement.grant
        if failure.kv is not None and failure.kv.engine != grant.prefill_engine:
            self._service.free(last, keep=None)
        self.admit()
        self._record_placed(grant)
        return grant

    def _final_error(self, failure: StageFailedError) -> PimentoquayError:
        if self.spec.streaming and self._first_token_at:
            return PimentoquayError(ResultCode.STREAM_BROKEN, failure.detail)
        return error_after_failed_stage(self.spec, failure, self.may_have_run)

    def _may_try_again(self, failure: StageFailedError) -> bool:
        if len(self._attempts) >= MAX_ATTEMPTS or self._is_too_late():
            return False
        return may_run_again(self.spec, failure, self.may_have_run)

    def _is_too_late(self) -> bool:
        streamed_since = self._first_token_at if self.spec.streaming else 0.0
        return self._node.clock.now() >= self._time_limits.retry_deadline(streamed_since)

    def _begin(self) -> None:
        if self.spec.request_id in self._service.run_by_id:
            raise RefusedError(
                ResultCode.KEY_IN_USE, f"request id {self.spec.request_id} is in progress"
            )
        self._service.run_by_id[self.spec.request_id] = self
        self._service.state_machine.register(self)
        self._record("received", f"kind {self.spec.kind.name}")

    def _end(self, code: ResultCode) -> None:
        """Release everything that the request holds, and count its outcome."""
        now = self._node.clock.now()
        self._record("ended", f"{int(code)}, {self.progress.tokens} tokens")
        getattr(self, final_trigger(code))()
        self._service.state_machine.unregister(self)
        del self._service.run_by_id[self.spec.request_id]
        if code is not ResultCode.OK:
            for attempt in self._attempts:
                self._service.free(attempt, keep=None)
        if self._placement is not None:
            release = Release(
                self.spec.request_id, code, self.progress.tokens, now - self._received_at
            )
            self._link.release(self._placement.shard, release)
            self._service.direct.release(self._placement.shard, self.spec.request_id)
        if self._claim is not None:
            self._service.claims.settle(self._claim, settled_code(code, self.may_have_run))
        self._service.metrics.count(self._outcome(code, now))

    def _outcome(self, code: ResultCode, now: float) -> RequestOutcome:
        started = self._first_token_at
        return RequestOutcome(
            self.spec.workspace,
            self.spec.kind,
            code,
            self.progress.tokens,
            self._admitted_at - self._received_at if self._admitted_at else None,
            started - self._received_at if started else None,
            (
                (now - started) / (self.progress.tokens - 1)
                if started and self.progress.tokens > 1
                else None
            ),
        )

    def _record(self, kind: str, detail: str = "") -> None:
        self._node.timeline.record(kind, self.spec.request_id, self.spec.workspace, detail)

    def _record_placed(self, grant: Grant) -> None:
        engines = f"{grant.prefill_engine}, {grant.decode_engine}"
        self._record("placed", f"attempt {grant.attempt}: {engines}")
