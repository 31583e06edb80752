"""What the stand-in engines and services saw of a load, read from their ``/observed``."""

import asyncio
from collections import Counter
from typing import TypeVar

from pimentoquay.bench.load.plan import LoadPlan
from pimentoquay.bench.load.tally import LoadReport, Outcome, Result, Tally
from pimentoquay.kernel.http_peer import HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json
from pimentoquay.messages.placement import Stage
from pimentoquay.standin import EngineObservation, PlainObservation, RunRecord

__all__ = ["Observer"]

OBSERVE_SECONDS = 3.0
"""How long one stand-in may take to answer."""

POLL_SECONDS = 2.0
"""How often the stand-ins are read, so that a killed one's records are not all lost."""

Observed = TypeVar("Observed", EngineObservation, PlainObservation)


class Observer:
    """Keeps the newest record of every engine and service.

    Parameters
    ----------
    plan
        Names their addresses.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._engines = {address: HttpPeer(address) for address in plan.load.engines.split()}
        self._services = {address: HttpPeer(address) for address in plan.load.services.split()}
        self._engine_by_address: dict[str, EngineObservation] = {}
        self._service_by_address: dict[str, PlainObservation] = {}
        self._first_by_address: dict[str, EngineObservation] = {}
        self._lost: set[str] = set()

    async def poll(self) -> None:
        """Read everything again and again until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(POLL_SECONDS)

    async def read(self) -> None:
        """Read every stand-in once; one that does not answer keeps its last record."""
        for address, peer in self._engines.items():
            observed = await _observe(peer, EngineObservation)
            self._lost.discard(address)
            if observed is None:
                self._lost.add(address)
                continue
            self._engine_by_address[address] = observed
            self._first_by_address.setdefault(address, observed)
        for address, peer in self._services.items():
            plain = await _observe(peer, PlainObservation)
            if plain is not None:
                self._service_by_address[address] = plain

    async def close(self) -> None:
        """Close every connection."""
        for peer in (*self._engines.values(), *self._services.values()):
            await peer.close()

    def report(self, tally: Tally, seconds: float) -> LoadReport:
        """Return the figures of a load that lasted ``seconds``."""
        counts = tally.count_by_outcome()
        in_target = sum(result.is_in_target for result in tally.results)
        return LoadReport(
            sent=len(tally.results),
            answered=counts[Outcome.ANSWERED],
            refused=counts[Outcome.REFUSED],
            cancelled=counts[Outcome.CANCELLED],
            outcome_unknown=counts[Outcome.UNKNOWN],
            resumed=sum(result.resumed for result in tally.results),
            goodput=round(in_target / seconds, 3),
            in_target=in_target,
            wasted_prefill=round(self._wasted(), 4),
            answered_twice=self._answered_twice(tally),
            wrong_answer=counts[Outcome.WRONG],
            incomplete=counts[Outcome.INCOMPLETE],
            held_after_end=self._held(),
            untrue_not_run=self._untrue(tally),
        )

    def waste_by_row(self, tally: Tally) -> dict[str, float]:
        """Return the share of each row's prefilled tokens that no decode used."""
        stages = Counter((run.request_id, run.stage) for run in self._engine_runs())
        prefilled: Counter[str] = Counter()
        wasted: Counter[str] = Counter()
        for result in tally.results:
            for request_id in result.request_ids:
                prefills = stages[request_id, Stage.PREFILL]
                used = min(prefills, stages[request_id, Stage.DECODE])
                prefilled[result.stream.row] += prefills * result.prompt_tokens
                wasted[result.stream.row] += (prefills - used) * result.prompt_tokens
        return {row: wasted[row] / total for row, total in prefilled.items() if total}

    def _engine_runs(self) -> list[RunRecord]:
        return [run for observed in self._engine_by_address.values() for run in observed.runs]

    def _wasted(self) -> float:
        """Return the share of prefilled tokens that no decode used."""
        discarded = prefilled = 0
        for address, last in self._engine_by_address.items():
            first = self._first_by_address[address]
            discarded += last.discarded_tokens - first.discarded_tokens
            prefilled += last.prefilled_tokens - first.prefilled_tokens
        return discarded / prefilled if prefilled else 0.0

    def _held(self) -> int:
        """Return how many requests live engines still hold memory for."""
        return sum(
            len(observed.held)
            for address, observed in self._engine_by_address.items()
            if address not in self._lost
        )

    def _answered_twice(self, tally: Tally) -> int:
        """Count calls that ran twice although they may run once only."""
        once = {
            request_id
            for result in tally.results
            if result.stream.once_only
            for request_id in result.request_ids
        }
        decodes = Counter(
            run.request_id
            for run in self._engine_runs()
            if run.stage is Stage.DECODE and run.request_id in once
        )
        runs = Counter(
            run.key or run.request_id
            for observed in self._service_by_address.values()
            for run in observed.runs
            if run.request_id in once
        )
        return sum(count > 1 for count in (*decodes.values(), *runs.values()))

    def _untrue(self, tally: Tally) -> int:
        """Count requests whose refusal said "not run" although a stand-in ran some of them."""
        ran = {run.request_id for run in self._engine_runs()}
        for observed in self._service_by_address.values():
            ran.update(run.request_id for run in observed.runs)
        return sum(_says_not_run_but(result, ran) for result in tally.results)


def _says_not_run_but(result: Result, ran: set[str]) -> bool:
    return any(request_id in ran for request_id in result.refused_ids)


async def _observe(peer: HttpPeer, cls: type[Observed]) -> Observed | None:
    try:
        answer = await peer.request("GET", "/observed", OBSERVE_SECONDS)
        return from_json(cls, answer.body)
    except (HttpError, ValueError):
        return None
