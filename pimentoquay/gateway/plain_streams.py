"""Forward streams whose engines reserve no memory for them.

They are those of plain services, and of callers that name no model. Their engines are chosen like
those of plain calls. All else holds as for model streams: only complete events are passed on, as
they come, and a stream that breaks off goes on at another engine of its software version if its
route allows it, or else ends as broken.
"""

import asyncio
from typing import NoReturn

from pimentoquay.gateway.engine_start import version_at
from pimentoquay.gateway.event_relay import EventRelay, silence_timeout_of, watch_of
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.server_choice import (
    UNREACHED_RETRY_AFTER_SECONDS,
    choose_server,
    max_idle_of,
    send_timeout,
    using_server,
)
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import RunEndedError, StreamProgress
from pimentoquay.gateway.stream_refusals import refuse_if_version_gone
from pimentoquay.gateway.stream_runs import StreamRuns, begin_run, ending_run
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.platform.requests import SendOptions
from pimentoquay.policy.fleet import STREAM_STAGES, EngineEntry
from pimentoquay.policy.version_choice import may_run

__all__ = ["PlainStreamForwarder"]

SENDS_PER_RUN = 1
"""Sends that another run takes from the retry budget."""


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
            self._refuse(job, progress)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with using_server(self._shared, engine) as use:
            use.has_failed = False
            try:
                await self._send(job, progress, engine)
            except RunEndedError:
                use.has_failed = True
                raise
        job.stop.record_run(job.route.name, loop.time() - started_at)

    def _choose_engine(self, job: Job, progress: StreamProgress) -> EngineEntry | None:
        """Return a server that has not been tried, or one that was if the stream has begun."""
        shared, service, software = self._shared, job.service, progress.software
        closed = () if software else shared.closed_versions(service, STREAM_STAGES)

        def may_use(engine: EngineEntry) -> bool:
            return engine.stage in STREAM_STAGES and may_run(engine, software, closed)

        chosen = choose_server(shared, service, job.sent_to, may_use)
        if chosen is None and progress.last_event is not None:
            chosen = choose_server(shared, service, (), may_use)
        return chosen

    def _refuse(self, job: Job, progress: StreamProgress) -> NoReturn:
        refuse_if_version_gone(self._shared, job, progress.software)
        pause = self._shared.pause_seconds(job.service, STREAM_STAGES, progress.software)
        detail = f"{progress.sends} engines tried"
        raise RefusedError(ResultCode.NO_BACKEND, detail, pause or UNREACHED_RETRY_AFTER_SECONDS)

    async def _send(self, job: Job, progress: StreamProgress, engine: EngineEntry) -> None:
        request, link = job.request, self._shared.links.link_to(engine)
        # A stream that begins may wait in the queue of its server, as a call does.
        has_begun = progress.last_event is not None
        silence = silence_timeout_of(job.route)
        head_seconds = silence if has_begun else send_timeout(job, progress.runs)
        begin_run(job, progress, engine)
        progress.run_software = await version_at(self._shared, job, engine, link, progress.software)
        options = SendOptions(
            engine=engine.id,
            timeout_seconds=job.seconds_left(),
            after_event=progress.last_event,
        )
        async with (
            ending_run(self._shared, job, progress, link),
            link.send(
                request.method,
                request.target,
                job.caller,
                request.body,
                options,
                access=job.check_send,
                max_idle_seconds=max_idle_of(job.route),
                head_seconds=head_seconds,
                watch=watch_of(job.route),
            ) as exchange,
        ):
            await self._relay.relay(job, progress, exchange, engine)
