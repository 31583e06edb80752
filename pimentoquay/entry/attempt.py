"""One attempt of a request: prefill, KV transfer and decode on the engines of a grant."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from pimentoquay.backends.base import (
    DecodeOrder,
    EngineClient,
    EngineLostError,
    EngineRefusedError,
    ImportOrder,
    KvGoneError,
    PrefillOrder,
)
from pimentoquay.entry.request import RequestSpec
from pimentoquay.entry.scheduler_link import SchedulerLink
from pimentoquay.kernel import Node, PimentoquayError, ResultCode
from pimentoquay.messages.cluster import Member
from pimentoquay.messages.placement import Grant, GrantRecord, Stage, StageReport
from pimentoquay.policy import TransferDurations

__all__ = ["Attempt", "HeldKv", "StageFailedError"]

STAGE_GRACE_SECONDS = 2.0
"""Time, in seconds, that a stage may exceed the deadline before its engine counts as lost."""

MIN_KV_LIFETIME_SECONDS = 0.05
"""Minimum remaining lifetime of a KV cache, in seconds, for which another transfer is tried."""

FRAME_END = b"\n\n"
"""Separator of server-sent events; it never occurs inside one, since JSON escapes line breaks."""


class StageFailedError(PimentoquayError):
    """A stage of an attempt failed.

    Parameters
    ----------
    stage
        The stage that failed.
    engine
        Name of the engine that it ran on.
    cause
        The error of the engine.

    Attributes
    ----------
    may_have_run
        False only if the engine proved that it ran nothing.
    kv
        The KV cache that the next attempt may use, or ``None``.
    """

    def __init__(self, stage: Stage, engine: str, cause: PimentoquayError) -> None:
        code = ResultCode.TRANSFER_FAILED if stage is Stage.TRANSFER else ResultCode.ENGINE_FAILED
        super().__init__(code, f"{stage.name.lower()} on {engine}: {cause.detail}")
        self.stage = stage
        self.engine = engine
        self.may_have_run = not isinstance(cause, EngineRefusedError)
        self.kv: HeldKv | None = None


@dataclass(frozen=True)
class HeldKv:
    """A KV cache that a prefill engine holds.

    Parameters
    ----------
    engine
        Name of the engine.
    attempt
        Number of the attempt that computed the KV cache, under which the engine holds it.
    expires_at
        Time at which the engine frees it, in seconds of the node's clock.
    kv_bytes
        Size in bytes.
    """

    engine: str
    attempt: int
    expires_at: float
    kv_bytes: int


class Attempt:
    """Execution of the stages of a request on the engines of one grant.

    Parameters
    ----------
    node, link
        The entry process and its link to the schedulers.
    engine_of
        Returns the client of an engine.
    spec
        The request.
    shard
        Name of the shard that issued the grant.
    grant
        The engines and the number of the attempt.
    deadline
        Latest time of the first token, in seconds of the node's clock.
    durations
        Durations of past KV transfers, from which the transfer timeout is derived.

    Attributes
    ----------
    engine_attempt
        Number of the attempt under which the decode engine holds the request. It is an earlier
        one if that engine computed the KV cache in an earlier attempt.
    client_by_engine
        Clients of the engines that were called and may hold memory for the request.
    """

    def __init__(
        self,
        node: Node,
        link: SchedulerLink,
        engine_of: Callable[[Member], EngineClient],
        spec: RequestSpec,
        shard: str,
        grant: Grant,
        deadline: float,
        durations: TransferDurations,
    ) -> None:
        self._node = node
        self._link = link
        self._engine_of = engine_of
        self._spec = spec
        self._shard = shard
        self._deadline = deadline
        self._durations = durations
        self.grant = grant
        self.request_id = spec.request_id
        self.engine_attempt = grant.attempt
        self.client_by_engine: dict[str, EngineClient] = {}
        self.hold(Stage.PREFILL)

    async def prefill(self) -> HeldKv:
        """Compute the KV cache of the prompt.

        Raises
        ------
        StageFailedError
            If the engine fails, or exceeds the deadline by ``STAGE_GRACE_SECONDS``.
        """
        spec = self._spec
        order = PrefillOrder(
            spec.request_id,
            self.grant.attempt,
            spec.workspace,
            spec.model,
            spec.prompt,
            spec.max_tokens,
            int(spec.kind.urgency),
        )
        engine = self.grant.prefill_engine
        started = self._node.clock.now()
        limit = max(0.0, self._deadline - started) + STAGE_GRACE_SECONDS
        try:
            async with asyncio.timeout(limit):
                result = await self._client(engine).prefill(order)
        except (PimentoquayError, TimeoutError) as error:
            raise StageFailedError(Stage.PREFILL, engine, _engine_error(error)) from error
        now = self._node.clock.now()
        self._report(Stage.PREFILL, engine, result.cached_tokens, now - started)
        expires_at = now + result.kv_lifetime
        return HeldKv(engine, self.grant.attempt, expires_at, result.kv_bytes)

    async def transfer(self, kv: HeldKv) -> None:
        """Transfer the KV cache to the decode engine.

        Raises
        ------
        StageFailedError
            If the transfer fails, stalls or exceeds the lifetime of the KV cache. The error's
            ``kv`` is set if the source engine still holds the KV cache.
        """
        source, target = self.grant.prefill_engine, self.grant.decode_engine
        self.hold(Stage.TRANSFER)
        started = self._node.clock.now()
        timeout = max(0.0, self._durations.timeout(kv.kv_bytes, kv.expires_at - started))
        try:
            order = ImportOrder(
                self._spec.request_id,
                self.grant.attempt,
                source,
                self._member(source).address,
                self._spec.max_tokens,
                kv.attempt,
            )
            async with asyncio.timeout(timeout):
                await self._client(target).import_kv(order)
        except (PimentoquayError, TimeoutError) as error:
            failure = StageFailedError(Stage.TRANSFER, target, _engine_error(error))
            failure.kv = kv if self._is_kv_usable(kv, error) else None
            raise failure from error
        seconds = self._node.clock.now() - started
        self._durations.add(kv.kv_bytes, seconds)
        self._report(Stage.TRANSFER, target, 0, seconds)

    def _is_kv_usable(self, kv: HeldKv, error: Exception) -> bool:
        if isinstance(error, KvGoneError):
            return False
        return self._node.clock.now() + MIN_KV_LIFETIME_SECONDS < kv.expires_at

    async def first_chunk(self, stream: AsyncIterator[bytes]) -> bytes:
        """Return the first chunk of a decode stream.

        Raises
        ------
        StageFailedError
            If the stream fails, ends, or exceeds the deadline by ``STAGE_GRACE_SECONDS``.
        """
        limit = max(0.0, self._deadline - self._node.clock.now()) + STAGE_GRACE_SECONDS
        try:
            async with asyncio.timeout(limit):
                return await anext(stream)
        except StopAsyncIteration:
            cause: PimentoquayError = EngineLostError("the stream ended without a token")
            raise StageFailedError(Stage.DECODE, self.grant.decode_engine, cause) from None
        except (PimentoquayError, TimeoutError) as error:
            raise StageFailedError(
                Stage.DECODE, self.grant.decode_engine, _engine_error(error)
            ) from error

    def decode(self, kv: HeldKv) -> AsyncIterator[bytes]:
        """Start decoding and return the frames of the answer."""
        self.hold(Stage.DECODE)
        if kv.engine == self.grant.decode_engine:
            self.engine_attempt = kv.attempt
        order = DecodeOrder(self._spec.request_id, self.engine_attempt, self._spec.chat)
        return self._client(self.grant.decode_engine).decode(order)

    def resume(self, offset: int) -> AsyncIterator[bytes]:
        """Return the frames of the running answer from token ``offset`` on."""
        self.hold(Stage.DECODE)
        client = self._client(self.grant.decode_engine)
        return client.resume(self._spec.request_id, self.engine_attempt, offset)

    def report_decode(self, tokens: int, seconds: float) -> None:
        """Report the decode speed of the first tokens to the scheduler, before the stream ends."""
        engine = self.grant.decode_engine
        report = StageReport(
            self._spec.request_id,
            self.grant.attempt,
            Stage.DECODE,
            engine,
            ResultCode.OK,
            tokens,
            0,
            seconds,
        )
        self._link.report(self._shard, report)

    def clients_to_cancel(self, keep: HeldKv | None) -> list[tuple[EngineClient, int]]:
        """Return clients of engines that may hold memory, with the attempt number to cancel.

        The engine that holds the KV cache ``keep`` is left out.
        """
        attempt = self.grant.attempt
        clients_to_cancel = [
            (client, attempt)
            for engine, client in self.client_by_engine.items()
            if keep is None or engine != keep.engine
        ]
        if self.engine_attempt != attempt:
            decoder = self.client_by_engine[self.grant.decode_engine]
            clients_to_cancel.append((decoder, self.engine_attempt))
        return clients_to_cancel

    def _member(self, engine: str) -> Member:
        member = self._link.directory.member_by_name.get(engine)
        if member is None:
            raise EngineRefusedError(f"engine {engine} is not on the membership list")
        return member

    def _client(self, engine: str) -> EngineClient:
        client = self.client_by_engine.get(engine)
        if client is None:
            client = self.client_by_engine[engine] = self._engine_of(self._member(engine))
        return client

    def hold(self, stage: Stage) -> None:
        """Store the grant with its current stage in the scheduler link."""
        spec, grant = self._spec, self.grant
        record = GrantRecord(
            spec.request_id,
            grant.attempt,
            spec.workspace,
            grant.prefill_engine,
            grant.decode_engine,
            stage,
            spec.prompt_tokens,
            spec.max_tokens,
        )
        self._link.hold(self._shard, record)

    def _report(self, stage: Stage, engine: str, cached: int, seconds: float) -> None:
        spec = self._spec
        report = StageReport(
            spec.request_id,
            self.grant.attempt,
            stage,
            engine,
            ResultCode.OK,
            spec.prompt_tokens,
            cached,
            seconds,
        )
        self._link.report(self._shard, report)


def _engine_error(error: Exception) -> PimentoquayError:
    if isinstance(error, PimentoquayError):
        return error
    return EngineLostError("no answer in time")
