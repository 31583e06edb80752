"""Reads from ``/observed`` what stand-in engines and services recorded during a load."""

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

OBSERVE_TIMEOUT_SECONDS = 3.0
"""Timeout for the response of a stand-in, in seconds."""

POLL_SECONDS = 2.0
"""Time between two reads in seconds; a killed stand-in loses its records since the last read."""

Observed = TypeVar("Observed", EngineObservation, PlainObservation)


class Observer:
    """Keeps the latest records of every stand-in engine and service.

    Parameters
    ----------
    plan
        Plan of the load, with the addresses of the stand-ins.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._engines = {address: HttpPeer(address) for address in plan.load.engines.split()}
        self._services = {address: HttpPeer(address) for address in plan.load.services.split()}
        self._engine_records_by_address: dict[str, EngineObservation] = {}
        self._service_records_by_address: dict[str, PlainObservation] = {}
        self._first_records_by_address: dict[str, EngineObservation] = {}
        self._unreachable: set[str] = set()

    async def poll(self) -> None:
        """Read the records of all stand-ins periodically until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(POLL_SECONDS)

    async def read(self) -> None:
        """Read the records of every stand-in; if one does not respond, keep its previous ones."""
        for address, peer in self._engines.items():
            records = await _fetch_records(peer, EngineObservation)
            self._unreachable.discard(address)
            if records is None:
                self._unreachable.add(address)
                continue
            self._engine_records_by_address[address] = records
            self._first_records_by_address.setdefault(address, records)
        for address, peer in self._services.items():
            service_records = await _fetch_records(peer, PlainObservation)
            if service_records is not None:
                self._service_records_by_address[address] = service_records

    async def close(self) -> None:
        """Close every connection."""
        for peer in (*self._engines.values(), *self._services.values()):
            await peer.close()

    def report(self, tally: Tally, seconds: float) -> LoadReport:
        """Return the report of a load that was sent for ``seconds``."""
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
            wasted_prefill=round(self._wasted_share(), 4),
            answered_twice=self._count_repeated_runs(tally),
            wrong_answer=counts[Outcome.WRONG],
            incomplete=counts[Outcome.INCOMPLETE],
            held_after_end=self._count_held(),
            untrue_not_run=self._count_false_refusals(tally),
        )

    def waste_by_row(self, tally: Tally) -> dict[str, float]:
        """Return the share of prefilled tokens that no decode used, by row of ``Tally.table``."""
        stages = Counter((run.request_id, run.stage) for run in self._all_engine_runs())
        prefilled: Counter[str] = Counter()
        wasted: Counter[str] = Counter()
        for result in tally.results:
            for request_id in result.request_ids:
                prefills = stages[request_id, Stage.PREFILL]
                used = min(prefills, stages[request_id, Stage.DECODE])
                prefilled[result.stream.row] += prefills * result.prompt_tokens
                wasted[result.stream.row] += (prefills - used) * result.prompt_tokens
        return {row: wasted[row] / total for row, total in prefilled.items() if total}

    def _all_engine_runs(self) -> list[RunRecord]:
        return [run for records in self._engine_records_by_address.values() for run in records.runs]

    def _wasted_share(self) -> float:
        """Return the share of all prefilled tokens that no decode used."""
        discarded = prefilled = 0
        for address, latest in self._engine_records_by_address.items():
            first = self._first_records_by_address[address]
            discarded += latest.discarded_tokens - first.discarded_tokens
            prefilled += latest.prefilled_tokens - first.prefilled_tokens
        return discarded / prefilled if prefilled else 0.0

    def _count_held(self) -> int:
        """Return the number of requests for which reachable engines still hold memory."""
        return sum(
            len(records.held)
            for address, records in self._engine_records_by_address.items()
            if address not in self._unreachable
        )

    def _count_repeated_runs(self, tally: Tally) -> int:
        """Return the number of calls that ran more than once although they may run only once."""
        once = {
            request_id
            for result in tally.results
            if result.stream.once_only
            for request_id in result.request_ids
        }
        decodes = Counter(
            run.request_id
            for run in self._all_engine_runs()
            if run.stage is Stage.DECODE and run.request_id in once
        )
        runs = Counter(
            run.key or run.request_id
            for records in self._service_records_by_address.values()
            for run in records.runs
            if run.request_id in once
        )
        return sum(count > 1 for count in (*decodes.values(), *runs.values()))

    def _count_false_refusals(self, tally: Tally) -> int:
        """Return the number of requests refused as "not run" although a stand-in ran them."""
        ran = {run.request_id for run in self._all_engine_runs()}
        for records in self._service_records_by_address.values():
            ran.update(run.request_id for run in records.runs)
        return sum(_ran_though_refused(result, ran) for result in tally.results)


def _ran_though_refused(result: Result, ran: set[str]) -> bool:
    """Return whether an attempt that was refused as "not run" is among the ids that ran."""
    return any(request_id in ran for request_id in result.refused_ids)


async def _fetch_records(peer: HttpPeer, cls: type[Observed]) -> Observed | None:
    """Return the records of a stand-in, or ``None`` if it does not respond properly."""
    try:
        response = await peer.request("GET", "/observed", OBSERVE_TIMEOUT_SECONDS)
        return from_json(cls, response.body)
    except (HttpError, ValueError):
        return None
