"""Forward model streams: reserve decode memory, prefill at one engine, then decode at another."""

import asyncio

from pimentoquay.gateway.engine_start import version_at
from pimentoquay.gateway.event_relay import EventRelay, silence_timeout_of, watch_of
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.prefills import Prefill, PrefillRunner
from pimentoquay.gateway.reservations import Reservation, Reservations
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import StreamProgress, output_tokens
from pimentoquay.gateway.stream_runs import StreamRuns, begin_run, ending_run
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.requests import SendOptions
from pimentoquay.policy.fleet import ModelRequest, TokenMemory
from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.output_estimate import OutputLengthEstimator
from pimentoquay.policy.stream_admission import StreamTimes, first_request_at, stream_times
from pimentoquay.policy.stream_queue import WaitingStream

__all__ = ["StreamForwarder"]

RERUN_SENDS = 2
"""Sends that another run takes from the retry budget: one to a prefill engine and one to a decode
engine."""

RESERVED_STANDARD_DEVIATIONS = 0.3
"""Standard deviations above the expected output length for which memory is reserved. Four outputs
in ten become longer than that."""


class StreamForwarder:
    """Forwards model streams to prefill and decode engines.

    Parameters
    ----------
    shared
        Engines, links and retry budgets.
    reservations
        Reserves memory at decode engines.
    prefill_runner
        Runs prefills at prefill engines.
    """

    def __init__(
        self, shared: SharedState, reservations: Reservations, prefill_runner: PrefillRunner
    ) -> None:
        self._shared = shared
        self._reservations = reservations
        self._prefill_runner = prefill_runner
        self._relay = EventRelay(shared)
        self._runs = StreamRuns(shared, self._run, RERUN_SENDS)
        self._estimate_by_service: dict[str, OutputLengthEstimator] = {}
        self._longest_wait_by_route: dict[str, float] = {}

    async def forward(self, job: Job) -> None:
        """Send a job's response; raise ``PimentoquayError`` if there is none."""
        await self._runs.forward(job, self._token_memory(job))

    async def _run(self, job: Job, progress: StreamProgress) -> None:
        job.check_access()
        memory, model = progress.memory, job.caller.model
        assert model is not None and memory is not None
        need = self._memory_need(job.service, model, memory, progress)
        loop = asyncio.get_running_loop()
        prefill: Prefill | None = None
        try:
            while True:
                reservation = await self._reserve(job, progress, memory, need)
                reserved_at = loop.time()
                try:
                    job.refuse_if_late()
                    self._shared.guard.check(job)
                    if prefill is None or not prefill.is_kept(loop.time(), memory):
                        self._prefill_runner.release_unused(prefill)
                        prefill = None
                        prefill = await self._prefill_runner.run(
                            job, model, reservation, progress.last_event, progress.software
                        )
                    self._shared.guard.check(job)
                    if self._shared.fleet.is_accepting(reservation.engine):
                        await self._run_at(job, progress, reservation, prefill)
                        break
                    self._log_left(job, reservation, prefill)
                finally:
                    self._reservations.release(reservation)
        finally:
            self._prefill_runner.release_unused(prefill)
        job.stop.record_run(job.route.name, loop.time() - reserved_at)
        if progress.last_event is not None:
            generated = output_tokens(progress, memory)
            estimate = self._estimate(job.service)
            estimate.record(model.expected_output, model.max_output_tokens, generated)
            self._shared.run_ledger.record_generation_rate(
                generated - need.begun, progress.streamed_seconds
            )

    async def _reserve(
        self, job: Job, progress: StreamProgress, memory: TokenMemory, need: MemoryNeed
    ) -> Reservation:
        progress.software = self._shared.origins.version_now(progress.software)
        waiter = WaitingStream(
            need,
            self._stream_times(job),
            progress.software,
            frozenset(progress.engines_without_events),
            job.priority,
            job.workspace_name,
        )
        reservation = await self._reservations.reserve(job, memory, waiter)
        job.metrics.record_memory_wait(job.age())
        return reservation

    async def _run_at(
        self, job: Job, progress: StreamProgress, reservation: Reservation, prefill: Prefill | None
    ) -> None:
        begin_run(job, progress, reservation.engine)
        progress.run_software = await version_at(
            self._shared, job, reservation.engine, reservation.link, progress.software
        )
        model = job.caller.model
        assert model is not None
        with self._shared.prompt_waste.watch(model.prompt_tokens):
            await self._decode(job, progress, reservation, prefill)

    def _log_left(self, job: Job, reservation: Reservation, prefill: Prefill | None) -> None:
        logger.bind(
            request=job.caller.id,
            engine=reservation.engine.id,
            waited=f"{asyncio.get_running_loop().time() - reservation.reserved_at:.3f}",
            has_prefill=prefill is not None,
        ).info("engine left before its stream was sent")

    def _stream_times(self, job: Job) -> StreamTimes:
        """Return when a stream becomes late and when its caller stops waiting for it.

        A caller that retries after a refusal states a shorter timeout than the longest one seen on
        its route; the difference is the time since it first sent the request.
        """
        route, timeout = job.route, job.caller.timeout_seconds
        longest = max(self._longest_wait_by_route.get(route.name, 0.0), timeout or 0.0)
        self._longest_wait_by_route[route.name] = longest
        first_sent_at = first_request_at(job.arrived_at, timeout, longest)
        is_going_on = job.reply.started
        return stream_times(
            asyncio.get_running_loop().time() if is_going_on else job.arrived_at,
            first_sent_at,
            is_going_on or job.caller.last_event is not None,
            route.target_seconds,
            route.gap_seconds,
            min(job.deadline, job.stop.ends_at),
        )

    def _estimate(self, service: str) -> OutputLengthEstimator:
        return self._estimate_by_service.setdefault(service, OutputLengthEstimator())

    def _memory_need(
        self, service: str, model: ModelRequest, memory: TokenMemory, progress: StreamProgress
    ) -> MemoryNeed:
        max_output = model.max_output_tokens
        expected = self._estimate(service).tokens(
            model.expected_output, max_output, RESERVED_STANDARD_DEVIATIONS
        )
        generated = output_tokens(progress, memory)
        return MemoryNeed(model.prompt_tokens, expected, max_output, generated)

    def _token_memory(self, job: Job) -> TokenMemory | None:
        configuration = self._shared.fleet.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        return service.memory if service is not None else None

    async def _decode(
        self, job: Job, progress: StreamProgress, reservation: Reservation, prefill: Prefill | None
    ) -> None:
        options = SendOptions(
            engine=reservation.engine.id,
            timeout_seconds=job.seconds_left(),
            kv_source=prefill.source if prefill is not None else "",
            hold=reservation.hold,
            after_event=progress.last_event,
            urgency=self._shared.urgency_of(job.priority, progress.last_event is not None),
        )
        async with (
            ending_run(self._shared, job, progress, reservation.link),
            reservation.link.send(
                job.request.method,
                job.request.target,
                job.caller,
                job.request.body,
                options,
                access=job.check_send,
                head_seconds=silence_timeout_of(job.route),
                has_permit=True,
                watch=watch_of(job.route),
                on_sent=reservation.record_hold_used,
            ) as exchange,
        ):
            await self._relay.relay(
                job,
                progress,
                exchange,
                reservation.engine,
                on_run=prefill.record_fetched if prefill is not None else lambda: None,
                on_events=lambda: self._reservations.update_progress(
                    reservation, output_tokens(progress, progress.memory)
                ),
            )
