"""Runs of one stream, one after the other, until its response is complete.

If a stream breaks and its route allows it, another run resumes it after the last event that the
caller has received, within the same response. A run is one execution of a request at an engine.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.job import MAX_CRASHES_PER_REQUEST, Job, record_end, send_response
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import RunEndedError, StreamProgress
from pimentoquay.http1 import ServerState
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.kernel.errors import HttpError, UnsendableError
from pimentoquay.kernel.logs import logger
from pimentoquay.policy.fleet import EngineEntry, TokenMemory

__all__ = ["StreamRuns", "begin_run", "ending_run"]

MAX_SENDS = 4
"""Maximum sends of one request to the engines that run it, including rejected ones."""

MIN_RETRY_SECONDS = 0.3
"""Minimum remaining time for sending a request again."""

RETRY_AFTER_SECONDS = 0.3
"""Retry-After value if engines rejected a request or it did not run in time."""


class StreamRuns:
    """Runs streams until they end, and decides whether one that broke off is run again.

    Parameters
    ----------
    shared
        Retry budgets, quarantines and the origins of streams.
    run
        Runs a request once. It raises ``RunEndedError`` if the response is not complete after it.
    sends_per_run
        Sends that another run takes from the retry budget.
    """

    def __init__(
        self,
        shared: SharedState,
        run: Callable[[Job, StreamProgress], Awaitable[None]],
        sends_per_run: int,
    ) -> None:
        self._shared = shared
        self._run = run
        self._sends_per_run = sends_per_run

    async def forward(self, job: Job, memory: TokenMemory | None) -> None:
        """Send a job's response; raise ``PimentoquayError`` if there is none.

        ``memory`` is that of the engines of its service as the stream began, or None. It holds for
        all runs, as the configuration may change meanwhile.
        """
        progress = StreamProgress(last_event=job.caller.last_event, memory=memory)
        if progress.last_event is not None:
            progress.software = await self._shared.origins.software_of(job)
        try:
            async with job.stop.time_limit(job.seconds_left()):
                await self._forward(job, progress)
        except TimeoutError:
            if progress.runs == 0 and not job.reply.started:
                code = ResultCode.DEADLINE_UNREACHABLE
                raise RefusedError(code, "not run in time", RETRY_AFTER_SECONDS) from None
            raise PimentoquayError(ResultCode.DEADLINE_MISSED, "deadline passed") from None
        except RefusedError as error:
            # Another run was refused, but the one before may have reached an engine.
            if progress.runs == 0 and not job.reply.started:
                raise
            _give_up(job, progress, error.detail)

    async def _forward(self, job: Job, progress: StreamProgress) -> None:
        while True:
            try:
                await self._run(job, progress)
                _record_success(job, progress)
                return
            except RunEndedError as error:
                _record_ended_run(job, progress, error)
                if not self._may_run_again(job, progress):
                    _give_up(job, progress, str(error))
                    return

    def _may_run_again(self, job: Job, progress: StreamProgress) -> bool:
        if progress.sends >= MAX_SENDS or job.seconds_left() < MIN_RETRY_SECONDS:
            return False
        if progress.crashes >= MAX_CRASHES_PER_REQUEST:
            return False
        if self._shared.guard.quarantine_of(job) is not None:
            return False
        has_run_left = job.route.is_resumable and progress.runs < job.route.max_engines
        if progress.runs and not (has_run_left and progress.can_go_on):
            return False
        return progress.arrivals == 0 or self._shared.retry_budgets.try_spend(
            job.service, self._sends_per_run
        )


def begin_run(job: Job, progress: StreamProgress, engine: EngineEntry) -> None:
    """Count a run that is to begin at an engine."""
    progress.engine = engine.id
    progress.sends += 1
    progress.runs += 1
    job.sent_to.append(engine.id)


@contextlib.asynccontextmanager
async def ending_run(
    shared: SharedState, job: Job, progress: StreamProgress, link: EngineLink
) -> AsyncIterator[None]:
    """Turn the errors of an exchange in the block into the end of its run.

    Raises
    ------
    RunEndedError
        If the exchange failed, after a check of its engine, or its events cannot be read.
    RefusedError
        If the request cannot be written to any engine.
    """
    try:
        yield
    except UnsendableError as error:
        progress.runs -= 1
        raise job.refusal_of(error) from None
    except HttpError as error:
        state = None
        if error.connection_lost:
            has_begun = progress.last_event is not None
            state = await shared.guard.handle_lost_run(job, link, has_begun)
        raise RunEndedError(str(error), error.written, error.written, state) from None
    except ValueError as error:
        raise RunEndedError(f"invalid event stream: {error}", True) from None


def _record_ended_run(job: Job, progress: StreamProgress, error: RunEndedError) -> None:
    progress.arrivals += error.has_arrived
    progress.crashes += error.engine_state is ServerState.REFUSING
    if not error.has_run:
        progress.runs -= 1
    logger.bind(
        request=job.caller.id,
        engine=progress.engine,
        has_run=error.has_run,
        last_event=progress.last_event,
        sends=progress.sends,
        parts=",".join(job.caller.model.shared_parts) if job.caller.model else "",
        digest=job.digest,
        engine_state=error.engine_state.value if error.engine_state is not None else "",
        detail=str(error),
    ).info("run ended early")


def _give_up(job: Job, progress: StreamProgress, detail: str) -> None:
    error_response = progress.error_response
    if job.reply.started:
        raise PimentoquayError(ResultCode.STREAM_BROKEN, detail)
    if error_response is not None:
        send_response(job, error_response.status, error_response.headers, error_response.body)
    elif progress.runs == 0:
        job.check_access()
        raise RefusedError(ResultCode.NO_BACKEND, detail, RETRY_AFTER_SECONDS)
    else:
        raise PimentoquayError(ResultCode.ENGINE_FAILED, detail)


def _record_success(job: Job, progress: StreamProgress) -> None:
    model = job.caller.model
    record_end(
        job,
        ResultCode.OK,
        "whole stream",
        engine=progress.engine,
        prompt_tokens=model.prompt_tokens if model else None,
        expected_output=model.expected_output if model else None,
        last_event=progress.last_event,
        runs=progress.runs,
    )
