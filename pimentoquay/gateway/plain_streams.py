"""Forward streams whose engines reserve no memory for them.

They are those of plain services, and of callers that name no model. Their engines are chosen like
those of plain calls. All else holds as for model streams: only complete events are passed on, as
they come, and a stream that breaks off goes on at another engine of its software version if its
route allows it, or else ends as broken.
"""

import asyncio

from pimentoquay.gateway.engine_start import version_at
from pimentoquay.gateway.event_relay import EventRelay, silence_timeout_of, watch_of
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.server_choice import choose_server
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import RunEndedError, StreamProgress
from pimentoquay.gateway.stream_runs import StreamRuns, lost_run
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.errors import HttpError, UnsendableError
from pimentoquay.platform.requests import SendOptions
from pimentoquay.policy.engine_choice import EngineCallStats
from pimentoquay.policy.fleet import STREAM_STAGES, EngineEntry
from pimentoquay.policy.version_choice import can_go_on, may_run

__all__ = ["PlainStreamForwarder"]

SENDS_PER_RUN = 1
"""Sends that another run takes from the retry budget."""

RETRY_AFTER_SECONDS = 0.3
"""Retry-After value if no server could be reached; about as long as a circuit first stays open."""

UNREPEATABLE_MAX_IDLE_SECONDS = 1.0
"""Maximum idle time of a reused connection for a stream that may not be repeated."""


class PlainStreamForwarder:
    """Forwards streams, each to one server at a time.

    Parameters
    ----------
    shared
        Engines, links and retry budgets of this gateway.
    """

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self._relay = EventRelay(shared)
        self._runs = StreamRuns(shared, self._run, SENDS_PER_RUN)

    async def forward(self, job: Job) -> None:
        """Send a job's response; raise ``PimentoquayError`` if there is none."""
        await self._runs.forward(job, None)

    async def _run(self, job: Job, progress: StreamProgress) -> None:
        job.check_access()
        job.refuse_if_late()
        self._shared.guard.check(job)
        progress.software = self._shared.origins.version_now(progress.software)
        engine = self._choose_engine(job, progress)
        if engine is None:
            # A place within the limits may have become free since the first choice.
            self._shared.refuse_over_limit(job.service, STREAM_STAGES, software=progress.software)
            engine = self._choose_engine(job, progress)
        if engine is None:
            raise self._refusal(job, progress)
        experience = self._shared.experience_by_engine.setdefault(engine.id, EngineCallStats())
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        experience.outstanding += 1
        has_failed = False
        try:
            await self._send(job, progress, engine)
        except RunEndedError:
            has_failed = True
            raise
        finally:
            experience.outstanding -= 1
            experience.record(loop.time() - started_at, has_failed, loop.time())
        job.stop.record_run(job.route.name, loop.time() - started_at)

    def _choose_engine(self, job: Job, progress: StreamProgress) -> EngineEntry | None:
        """Return a server that has not been tried, or one that was if the stream has begun."""
        shared, software = self._shared, progress.software
        listed = [
            each
            for each in shared.fleet.accepting_engines(job.service)
            if each.stage in STREAM_STAGES
        ]
        closed = () if software else shared.origins.closed_versions(job.service, listed)

        def may_use(engine: EngineEntry) -> bool:
            return engine.stage in STREAM_STAGES and may_run(engine, software, closed)

        chosen = choose_server(shared, job.service, job.sent_to, may_use)
        if chosen is None and progress.last_event is not None:
            chosen = choose_server(shared, job.service, (), may_use)
        return chosen

    def _refusal(self, job: Job, progress: StreamProgress) -> RefusedError:
        software, accepting = progress.software, self._shared.fleet.accepting_engines(job.service)
        if software and not can_go_on(accepting, software):
            detail = f"no engine of version {software} is left"
            return RefusedError(ResultCode.STREAM_VERSION_GONE, detail)
        pause = self._shared.pause_seconds(job.service, STREAM_STAGES, software)
        detail = f"{progress.sends} engines tried"
        return RefusedError(ResultCode.NO_BACKEND, detail, pause or RETRY_AFTER_SECONDS)

    async def _send(self, job: Job, progress: StreamProgress, engine: EngineEntry) -> None:
        request, link = job.request, self._shared.links.link_to(engine)
        progress.engine = engine.id
        progress.sends += 1
        progress.runs += 1
        job.sent_to.append(engine.id)
        progress.run_software = await version_at(self._shared, job, engine, link, progress.software)
        options = SendOptions(
            engine=engine.id,
            timeout_seconds=job.seconds_left(),
            after_event=progress.last_event,
        )
        max_idle_seconds = None if job.route.may_run_again else UNREPEATABLE_MAX_IDLE_SECONDS
        try:
            async with link.send(
                request.method,
                request.target,
                job.caller,
                request.body,
                options,
                access=job.check_send,
                max_idle_seconds=max_idle_seconds,
                head_seconds=silence_timeout_of(job.route),
                watch=watch_of(job.route),
            ) as exchange:
                await self._relay.relay(job, progress, exchange, engine)
        except UnsendableError as error:
            progress.runs -= 1
            raise job.refusal_of(error) from None
        except HttpError as error:
            raise await lost_run(self._shared, job, progress, link, error) from None
        except ValueError as error:
            raise RunEndedError(f"invalid event stream: {error}", True) from None
