"""Prompts that prefill engines read before their streams run at decode engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from pimentoquay.gateway.context import Sharing
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.links import EngineLink
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.answers import PrefillResult, read_answer, read_prefill
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.requests import SendOptions
from pimentoquay.policy.fleet import EngineEntry, EngineStage, ModelRequest
from pimentoquay.policy.prefill_choice import (
    can_prefill_on_decode_engine,
    choose_prefill_engine,
)

__all__ = ["Prefill", "Prefills"]

PREFILL_SECONDS = 1.0
"""How long a prefill may take; ten times an ordinary one, and half of a hold's life."""


class _PrefillRefusedError(Exception):
    """An engine answered a prefill with something else than a KV cache."""


@dataclass
class Prefill:
    """A KV cache at a prefill engine; ``is_taken`` once a decode engine has fetched it."""

    link: EngineLink
    result: PrefillResult
    is_taken: bool = False

    @property
    def source(self) -> str:
        """Where a decode engine fetches it."""
        return f"{self.link.entry.address}/{self.result.handle}"


class Prefills:
    """Runs prefills, at the engine that has the least to read.

    Parameters
    ----------
    sharing
        Engines, links and allowances.
    on_change
        Called when this gateway has more or fewer prompts at prefill engines.
    """

    def __init__(
        self,
        sharing: Sharing,
        on_change: Callable[[], None],
    ) -> None:
        self._sharing = sharing
        self._on_change = on_change

    async def run(
        self, job: Job, model: ModelRequest, near: EngineEntry, after_event: int | None
    ) -> Prefill | None:
        """Prefill a prompt; ``None`` if no prefill engine could, and the decode engine has to.

        ``after_event`` is the last event that the caller has, where its stream goes on.
        """
        failed: set[str] = set()
        while True:
            engine = self._choose(job, model, near, failed)
            if engine is None or (failed and not self._sharing.repeats.take(job.service)):
                logger.bind(request=job.caller.id, engine=near.id, tokens=model.prompt_tokens).info(
                    "prompt left to the decode engine"
                )
                return None
            try:
                return await self._send(job, model, engine, after_event)
            except (HttpError, _PrefillRefusedError, DecodeError, TimeoutError) as error:
                logger.bind(request=job.caller.id, engine=engine.id, error=repr(error)).info(
                    "prefill failed"
                )
                failed.add(engine.id)

    def end(self, prefill: Prefill | None) -> None:
        """Free a KV cache that no decode engine has fetched."""
        if prefill is not None and not prefill.is_taken:
            call = prefill.link.calls.drop_handle(prefill.result.handle)
            self._sharing.links.call_later(prefill.link, call, "free KV cache")

    def _choose(
        self, job: Job, model: ModelRequest, near: EngineEntry, failed: set[str]
    ) -> EngineEntry | None:
        engines = [
            engine
            for engine in self._sharing.engines_at(job.service, (EngineStage.PREFILL,))
            if engine.id not in failed
        ]
        is_decode_engine_allowed = can_prefill_on_decode_engine(
            model.prompt_tokens, self._sharing.speed, job.route.gap_seconds
        )
        return choose_prefill_engine(
            engines,
            self._sharing.prefilling,
            self._sharing.speed,
            replace(self._sharing.placer, data_centre=near.data_centre),
            is_decode_engine_allowed,
        )

    async def _send(
        self, job: Job, model: ModelRequest, engine: EngineEntry, after_event: int | None
    ) -> Prefill:
        link = self._sharing.links.to(engine)
        options = SendOptions(
            engine=engine.id,
            wait_seconds=job.seconds_left(),
            is_prefill=True,
            after_event=after_event,
        )
        request = job.request
        tokens = model.prompt_tokens
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._sharing.prefilling.take(engine.id, tokens)
        self._on_change()
        try:
            async with (
                asyncio.timeout(min(PREFILL_SECONDS, job.seconds_left())),
                link.send(
                    request.method, request.target, job.caller, request.body, options
                ) as exchange,
            ):
                body = await exchange.read_body()
                if read_answer(exchange.status, exchange.headers).is_misdirected:
                    self._sharing.note_misdirected(engine)
                if exchange.status != 200:
                    raise _PrefillRefusedError(f"status {exchange.status}")
                self._sharing.speed.record(tokens, loop.time() - started_at)
                self._sharing.demand.record_prefill(self._sharing.speed.seconds(tokens))
                return Prefill(link, read_prefill(body))
        finally:
            self._sharing.prefilling.release(engine.id, tokens)
            self._on_change()
