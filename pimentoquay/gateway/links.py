"""Connections of the gateway to engines, one client for each engine process."""

import asyncio
from collections.abc import Callable, Collection

from pimentoquay.gateway.engine_contact import EngineContact
from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.kernel.errors import (
    HttpError,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform.engine_calls import EngineCall
from pimentoquay.policy.circuits import CircuitLimits, Circuits, CircuitState
from pimentoquay.policy.engine_limits import EngineLimits, LimitNotice
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.tunnels import EnginePaths

__all__ = ["EngineLinks"]

CIRCUIT_LIMITS = CircuitLimits(first_wait=0.5, longest_wait=2.0, error_grace=1)
"""An unreachable engine is not used for 0.5 s, later for up to 2 s. Its entry expires only after
three missed heartbeats, and without the circuit each request until then would wait for it."""


class EngineLinks:
    """Links to all listed engines.

    ``opened_connections`` counts all connections opened to engines, ``oversized_responses`` their
    responses that were cut off for their size.

    Parameters
    ----------
    fleet
        The list of engines.
    limits
        Limits of requests that engines name.
    contact
        Whether engines are reached.
    paths
        Opens connections to engines, directly or through peers.
    turns
        Continues the work that reads left over.
    """

    def __init__(
        self,
        fleet: Fleet,
        limits: EngineLimits,
        contact: EngineContact,
        paths: EnginePaths,
        turns: TurnQueue | None = None,
    ) -> None:
        self._fleet = fleet
        self.limits = limits
        self.contact = contact
        self._paths = paths
        self._turns = turns
        self.on_limit: list[Callable[[LimitNotice], None]] = []
        self.circuits = Circuits(CIRCUIT_LIMITS)
        self.on_leaving: list[Callable[[EngineStart], None]] = []
        self.opened_connections = 0
        self.oversized_responses = 0
        self._link_by_id: dict[str, EngineLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        fleet.on_engines_changed.append(self._drop_stale_links)
        paths.on_cut.append(self._handle_cut)
        paths.on_returned.append(self._handle_returned)

    def links(self) -> Collection[EngineLink]:
        """Return the links that are in use."""
        return self._link_by_id.values()

    def link_to(self, entry: EngineEntry) -> EngineLink:
        """Return the link to an engine; a link to an earlier start of the engine is replaced."""
        link = self._link_by_id.get(entry.id)
        if link is None or not _is_same_start(link.entry, entry):
            if link is not None:
                link.close()
            link = EngineLink(
                entry,
                self.circuits,
                self._fleet.notices,
                self.limits,
                self.contact,
                self._count_opened,
                self._count_oversized,
                self._report_leaving,
                self._report_limit,
                self._fleet.is_accepting,
                self._paths,
                self._turns,
            )
            self._link_by_id[entry.id] = link
        return link

    def is_circuit_open(self, engine: str, now: float) -> bool:
        """Return whether an engine's circuit is open and no probe is due."""
        state = self.circuits.state(engine, now)
        return state in (CircuitState.WAITING, CircuitState.PROBING)

    def call_in_background(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        """Make a call in the background, such as freeing memory; failures are only logged."""
        task = asyncio.get_running_loop().create_task(self._call_and_log(link, call, purpose))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Close every link."""
        for link in self._link_by_id.values():
            link.close()

    def _handle_cut(self, engine: str) -> None:
        """Use an engine through peers: what its own connections showed counts no more."""
        self.circuits.succeeded(engine)
        link = self._link_by_id.get(engine)
        if link is not None:
            link.change_way(through_peers=True)

    def _handle_returned(self, engine: str) -> None:
        link = self._link_by_id.get(engine)
        if link is not None:
            link.change_way(through_peers=False)

    def _report_leaving(self, start: EngineStart) -> None:
        for callback in self.on_leaving:
            callback(start)

    def _report_limit(self, notice: LimitNotice) -> None:
        for callback in self.on_limit:
            callback(notice)

    def _count_opened(self) -> None:
        self.opened_connections += 1

    def _count_oversized(self) -> None:
        self.oversized_responses += 1

    def _drop_stale_links(self) -> None:
        entry_by_id = {entry.id: entry for entry in self._fleet.engines()}
        self.limits.forget_others([entry.start for entry in entry_by_id.values()])
        for engine_id, link in tuple(self._link_by_id.items()):
            entry = entry_by_id.get(engine_id)
            if entry is None or not _is_same_start(link.entry, entry):
                del self._link_by_id[engine_id]
                self.circuits.succeeded(engine_id)
                self.contact.forget(engine_id)
                link.close()

    async def _call_and_log(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        try:
            await link.call(call)
        except HttpError as error:
            logger.bind(engine=link.entry.id, purpose=purpose, error=str(error)).info(
                "background call failed"
            )


def _is_same_start(one: EngineEntry, other: EngineEntry) -> bool:
    return (one.id, one.incarnation, one.address) == (other.id, other.incarnation, other.address)
