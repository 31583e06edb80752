"""Forwarding of calls to plain services.

A call that may not be repeated is sent again only on proof that the server before did nothing: no
byte was written, or the server said so. A call that may be repeated goes to another server also
after a failure, within its route's bound and the allowance for repeats.
"""

import asyncio
from dataclasses import dataclass, field

from pimentoquay.gateway.context import Sharing
from pimentoquay.gateway.job import Job, answer_whole
from pimentoquay.http1 import HeaderList
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.answers import AnswerFacts, read_answer
from pimentoquay.platform.requests import SendOptions
from pimentoquay.policy.engine_choice import EngineCallStats, choose_engine
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["PlainForwarder"]

MAX_SENDS = 4
"""Sends of one request, those that wrote nothing or were turned away included."""

RETURN_SECONDS = 0.3
"""When a caller is told to return if no server could be reached; about a circuit's first wait."""

FIRST_SEND_TARGETS = 2.0
"""A call that may be repeated is left after so many times its target, if another can be tried."""

FRESH_SECONDS = 1.0
"""How recently a kept connection must have been used to carry a call that may not be repeated."""


@dataclass(frozen=True)
class _Answer:
    status: int
    headers: HeaderList
    body: bytes
    facts: AnswerFacts


@dataclass
class _Tries:
    """What has been done for one request."""

    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    engines: set[str] = field(default_factory=set)
    answer: _Answer | None = None


class PlainForwarder:
    """Forwards one call at a time for each caller.

    Parameters
    ----------
    sharing
        Engines, links and allowances of this gateway.
    """

    def __init__(self, sharing: Sharing) -> None:
        self._sharing = sharing

    async def forward(self, job: Job) -> None:
        """Answer a job; ``PimentoquayError`` where there is no answer to give."""
        tries = _Tries()
        while tries.sends < MAX_SENDS and job.seconds_left() > 0:
            engine = self._choose(job, tries)
            if engine is None or not self._may_send(job, tries):
                break
            tries.sends += 1
            tries.engines.add(engine.id)
            answer = await self._send(job, engine, tries)
            if answer is not None and not self._wants_another(job, tries, answer):
                answer_whole(job, answer.status, answer.headers, answer.body)
                return
        self._give_up(job, tries)

    def _choose(self, job: Job, tries: _Tries) -> EngineEntry | None:
        now = asyncio.get_running_loop().time()
        sharing = self._sharing
        engines = [
            engine
            for engine in sharing.fleet.engines_of(job.service)
            if not sharing.is_misdirected(engine, now)
        ]
        reachable = [each for each in engines if not sharing.links.is_open(each.id, now)]
        chosen = None
        for candidates in (reachable, engines):
            chosen = chosen or choose_engine(
                candidates,
                sharing.experience_by_engine,
                sharing.placer.data_centre,
                now,
                tries.engines,
            )
        return chosen

    def _may_send(self, job: Job, tries: _Tries) -> bool:
        if tries.runs and (not job.route.may_run_again or tries.runs >= job.route.max_engines):
            return False
        return tries.arrivals == 0 or self._sharing.repeats.take(job.service)

    def _wants_another(self, job: Job, tries: _Tries, answer: _Answer) -> bool:
        """Keep an engine's own failure, and tell whether another engine may do better."""
        tries.answer = answer
        return answer.status >= 500 and job.route.may_run_again

    async def _send(self, job: Job, engine: EngineEntry, tries: _Tries) -> _Answer | None:
        experience = self._sharing.experience_by_engine[engine.id]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        experience.outstanding += 1
        has_failed = True
        try:
            async with asyncio.timeout(self._send_seconds(job, tries)):
                answer = await self._exchange(job, engine)
            tries.arrivals += 1
            has_failed = answer.status >= 500
            return self._judge(job, engine, tries, answer)
        except HttpError as error:
            self._note_lost(job, engine, tries, error.written, str(error))
        except TimeoutError:
            self._note_lost(job, engine, tries, True, "no answer in time")
        except asyncio.CancelledError:
            has_failed = False
            raise
        finally:
            experience.outstanding -= 1
            self._learn(experience, loop.time() - started_at, has_failed)
        return None

    def _learn(self, experience: EngineCallStats, seconds: float, has_failed: bool) -> None:
        experience.record(seconds, has_failed, asyncio.get_running_loop().time())

    def _send_seconds(self, job: Job, tries: _Tries) -> float:
        left = job.seconds_left()
        if job.route.may_run_again and tries.runs + 1 < job.route.max_engines:
            return min(left, FIRST_SEND_TARGETS * job.route.target_seconds)
        return left

    async def _exchange(self, job: Job, engine: EngineEntry) -> _Answer:
        link = self._sharing.links.to(engine)
        options = SendOptions(engine=engine.id, wait_seconds=job.seconds_left())
        longest_idle = None if job.route.may_run_again else FRESH_SECONDS
        request = job.request
        async with link.send(
            request.method, request.target, job.caller, request.body, options, longest_idle
        ) as exchange:
            body = await exchange.read_body()
            facts = read_answer(exchange.status, exchange.headers)
            return _Answer(exchange.status, exchange.headers, body, facts)

    def _judge(
        self, job: Job, engine: EngineEntry, tries: _Tries, answer: _Answer
    ) -> _Answer | None:
        """Return the answer if it is the engine's own to this request."""
        if answer.facts.has_not_run:
            if answer.facts.is_misdirected:
                self._sharing.note_misdirected(engine)
            self._log(job, engine, f"not run: status {answer.status}")
            return None
        tries.runs += 1
        spoilt = answer.facts.is_encoded or not answer.facts.is_signed
        if spoilt:
            self._log(job, engine, "the answer is not the engine's own")
            return None
        return answer

    def _note_lost(
        self, job: Job, engine: EngineEntry, tries: _Tries, written: bool, detail: str
    ) -> None:
        if written:
            tries.arrivals += 1
            tries.runs += 1
        self._log(job, engine, detail)

    def _give_up(self, job: Job, tries: _Tries) -> None:
        if tries.answer is not None:
            answer = tries.answer
            answer_whole(job, answer.status, answer.headers, answer.body)
        elif tries.runs == 0:
            detail = f"{tries.sends} engines tried"
            raise RefusedError(ResultCode.NO_BACKEND, detail, RETURN_SECONDS)
        elif job.seconds_left() <= 0:
            raise PimentoquayError(ResultCode.DEADLINE_MISSED, f"{tries.runs} engines tried")
        else:
            raise PimentoquayError(ResultCode.OUTCOME_UNKNOWN, f"{tries.runs} engines tried")

    def _log(self, job: Job, engine: EngineEntry, detail: str) -> None:
        logger.bind(request=job.caller.id, engine=engine.id, detail=detail).info("send failed")
