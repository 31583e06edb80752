"""Prefill of prompts at prefill engines before their streams run at decode engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.http1 import ExchangeWatch
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.requests import SendOptions
from pimentoquay.platform.responses import PrefillResult, parse_prefill, parse_response
from pimentoquay.policy.fleet import EngineEntry, EngineStage, ModelRequest
from pimentoquay.policy.prefill_choice import (
    can_prefill_on_decode_engine,
    choose_prefill_engine,
)

__all__ = ["Prefill", "PrefillRunner"]

PREFILL_TIMEOUT_SECONDS = 1.0
"""Timeout of a prefill: ten times its usual duration, and half the lifetime of a memory hold."""


WATCH = ExchangeWatch(quiet_seconds=0.4, abandon_seconds=0.0)
"""Prefills take some tenths of a second, and may be sent again."""

MAX_BODY_BYTES = 64 * 1024
"""Maximum size of a response to a prefill, in bytes; it names a KV cache."""


class _PrefillRefusedError(Exception):
    """An engine responded to a prefill with something other than a KV cache."""


@dataclass
class Prefill:
    """A KV cache at a prefill engine; ``is_fetched`` once a decode engine has fetched it."""

    link: EngineLink
    result: PrefillResult
    is_fetched: bool = False

    @property
    def source(self) -> str:
        """Address and handle with which a decode engine fetches the KV cache."""
        return f"{self.link.entry.address}/{self.result.handle}"


class PrefillRunner:
    """Runs prefills at the prefill engine with the shortest queue.

    Parameters
    ----------
    shared
        Engines, links and retry budgets.
    on_change
        Called when the number of this gateway's prompts at prefill engines changes.
    """

    def __init__(
        self,
        shared: SharedState,
        on_change: Callable[[], None],
    ) -> None:
        self._shared = shared
        self._on_change = on_change

    async def run(
        self,
        job: Job,
        model: ModelRequest,
        decode_engine: EngineEntry,
        after_event: int | None,
        granted: str = "",
        software: str = "",
    ) -> Prefill | None:
        """Prefill a prompt; return ``None`` if the decode engine has to do it.

        Parameters
        ----------
        job, model
            The request and its model parameters.
        decode_engine
            The engine that will run the stream; prefill engines in its data centre are preferred.
        after_event
            Id of the last event that the caller has received, if its stream is resumed.
        granted
            Id of the prefill engine to try first, or empty.
        software
            Software version that began the stream, whose prompt no other may read, or empty.

        Raises
        ------
        RefusedError
            If a prefill engine has crashed under the request, and it may not be sent any more.
        """
        failed: set[str] = set()
        while True:
            if failed:
                job.check_access()
                self._shared.guard.check(job)
            engine = self._choose_engine(job, model, decode_engine, failed, granted, software)
            if engine is None or (failed and not self._shared.retry_budgets.try_spend(job.service)):
                logger.bind(
                    request=job.caller.id, engine=decode_engine.id, tokens=model.prompt_tokens
                ).info("prompt left to the decode engine")
                return None
            try:
                return await self._send(job, model, engine, after_event, engine.id == granted)
            except (HttpError, _PrefillRefusedError, DecodeError, TimeoutError) as error:
                logger.bind(request=job.caller.id, engine=engine.id, error=repr(error)).info(
                    "prefill failed"
                )
                failed.add(engine.id)
                was_sent = not isinstance(error, HttpError) or error.written
                if was_sent and not isinstance(error, _PrefillRefusedError):
                    self._shared.prompt_waste.record_prefill(model.prompt_tokens)
                if isinstance(error, HttpError) and error.connection_lost:
                    link = self._shared.links.link_to(engine)
                    await self._shared.guard.handle_lost_run(job, link)

    def release_unused(self, prefill: Prefill | None) -> None:
        """Free the KV cache unless a decode engine has fetched it."""
        if prefill is not None and not prefill.is_fetched:
            call = prefill.link.calls.free_kv_cache(prefill.result.handle)
            self._shared.links.call_in_background(prefill.link, call, "free KV cache")

    def _choose_engine(
        self,
        job: Job,
        model: ModelRequest,
        decode_engine: EngineEntry,
        failed: set[str],
        granted: str,
        software: str,
    ) -> EngineEntry | None:
        stages = (EngineStage.PREFILL,)
        if granted not in failed:
            for engine in self._shared.engines_for_stream(job.service, stages, software):
                if engine.id == granted:
                    return engine
        engines = [
            engine
            for engine in self._shared.sendable_engines(job.service, stages, software)
            if engine.id not in failed
        ]
        is_decode_engine_allowed = can_prefill_on_decode_engine(
            model.prompt_tokens, self._shared.speed, job.route.gap_seconds
        )
        return choose_prefill_engine(
            engines,
            self._shared.prefill_ledger,
            self._shared.speed,
            replace(self._shared.placer, data_centre=decode_engine.data_centre),
            is_decode_engine_allowed,
        )

    async def _send(
        self,
        job: Job,
        model: ModelRequest,
        engine: EngineEntry,
        after_event: int | None,
        is_granted: bool,
    ) -> Prefill:
        link = self._shared.links.link_to(engine)
        options = SendOptions(
            engine=engine.id,
            timeout_seconds=job.seconds_left(),
            is_prefill=True,
            after_event=after_event,
            urgency=self._shared.urgency_of(job.priority, after_event is not None),
        )
        request = job.request
        tokens = model.prompt_tokens
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._shared.prefill_ledger.take(engine.id, tokens)
        self._on_change()
        try:
            async with (
                asyncio.timeout(min(PREFILL_TIMEOUT_SECONDS, job.seconds_left())),
                link.send(
                    request.method,
                    request.target,
                    job.caller,
                    request.body,
                    options,
                    access=job.check_send,
                    has_permit=is_granted,
                    watch=WATCH,
                ) as exchange,
            ):
                body = await exchange.read_body(MAX_BODY_BYTES)
                if parse_response(exchange.status, exchange.headers).is_misdirected:
                    self._shared.mark_misdirected(engine)
                if exchange.status != 200:
                    raise _PrefillRefusedError(f"status {exchange.status}")
                self._shared.speed.record(tokens, loop.time() - started_at)
                self._shared.demand.record_prefill(self._shared.speed.seconds(tokens))
                return Prefill(link, parse_prefill(body))
        finally:
            self._shared.prefill_ledger.release(engine.id, tokens)
            self._on_change()
