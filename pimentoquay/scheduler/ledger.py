"""Ledger of one shard: the resources that each grant holds on its engines.

The stage of a grant alone determines what it holds. A change of stage therefore frees the old
resources and reserves the new ones in one step, and nothing can be freed twice.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from pimentoquay.messages.placement import GrantRecord, PlaceRequest, Stage, Urgency
from pimentoquay.policy import EngineLoad

__all__ = ["EntryKey", "GrantState", "Ledger", "announced_grant"]

RELEASED_RETENTION_SECONDS = 4.0
"""Seconds for which a released request is remembered, because engines may still report it."""


@dataclass(frozen=True)
class EntryKey:
    """Identity of one entry process from its start to its end."""

    vm: str
    process: str
    incarnation: int


@dataclass
class GrantState:
    """A grant of engines to one attempt of a request.

    Attributes
    ----------
    request
        The request that holds the grant.
    entry
        The entry process that serves the request.
    prefill_engine, decode_engine
        Names of the engines; equal where one engine runs both stages.
    granted_at, deadline, stage_since
        Times in seconds of the scheduler's clock: when the grant was given, when the first token
        is due, and when the present stage began.
    stage
        Present stage of the attempt.
    hold_seconds
        Expected time for which the request occupies a decode slot.
    prefill_seconds
        Expected time to the end of the prefill.
    first_token_at
        Unused.
    missing_reports
        Engine reports in a row that lack this grant although they should contain it.
    probe_keys
        Circuits for which this request is the probe.
    version
        Version of the weights that the decode engine runs.
    """

    request: PlaceRequest
    entry: EntryKey
    prefill_engine: str
    decode_engine: str
    granted_at: float
    deadline: float
    stage: Stage = Stage.PREFILL
    stage_since: float = 0.0
    hold_seconds: float = 1.0
    prefill_seconds: float = 0.0
    first_token_at: float = 0.0
    missing_reports: int = 0
    probe_keys: tuple[str, ...] = field(default=())
    version: str = ""

    @property
    def uses_link(self) -> bool:
        """Whether the KV cache has to be transferred between two engines."""
        return self.prefill_engine != self.decode_engine


class Ledger:
    """Grants by request id, and the load of each engine that results from them."""

    def __init__(self) -> None:
        self.engine_by_name: dict[str, EngineLoad] = {}
        self._grant_by_id: dict[str, GrantState] = {}
        self._count_by_workspace: dict[str, int] = {}
        self._released_at_by_id: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._grant_by_id)

    def __iter__(self) -> Iterator[GrantState]:
        return iter(tuple(self._grant_by_id.values()))

    def get(self, request_id: str) -> GrantState | None:
        """Return the grant of a request, or ``None``."""
        return self._grant_by_id.get(request_id)

    def count_for_workspace(self, workspace: str) -> int:
        """Return the number of grants that a workspace holds."""
        return self._count_by_workspace.get(workspace, 0)

    def add(self, grant: GrantState) -> None:
        """Add a grant and its load.

        Raises
        ------
        ValueError
            If the request already holds a grant.
        """
        request_id = grant.request.request_id
        if request_id in self._grant_by_id:
            raise ValueError(f"request {request_id!r} already holds a grant")
        self._grant_by_id[request_id] = grant
        workspace = grant.request.workspace
        self._count_by_workspace[workspace] = self.count_for_workspace(workspace) + 1
        self._released_at_by_id.pop(request_id, None)
        self._add_load(grant, 1)

    def set_stage(self, grant: GrantState, stage: Stage, now: float) -> None:
        """Change the stage of a grant and thereby the resources that it holds."""
        self._add_load(grant, -1)
        if stage is Stage.DECODE:
            self._end_transfer(grant)
        grant.stage = stage
        grant.stage_since = now
        grant.missing_reports = 0
        self._add_load(grant, 1)

    def free(self, request_id: str, now: float) -> GrantState | None:
        """Remove the grant of a request and its load; return it, or ``None`` if there is none."""
        grant = self._grant_by_id.pop(request_id, None)
        if grant is None:
            return None
        self._add_load(grant, -1)
        self._end_transfer(grant)
        workspace = grant.request.workspace
        left = self._count_by_workspace.pop(workspace) - 1
        if left:
            self._count_by_workspace[workspace] = left
        self._released_at_by_id[request_id] = now
        self._expire_released(now)
        return grant

    def add_transfer(
        self, grant: GrantState, start: float, seconds: float, lifetime: float
    ) -> None:
        """Add the transfer of a grant's KV cache to the links of both engines.

        Parameters
        ----------
        grant
            The grant whose KV cache is transferred.
        start
            Time at which the transfer is expected to start.
        seconds
            Duration of the transfer on idle links.
        lifetime
            Seconds for which the KV cache is kept from ``start`` on.
        """
        for load in self._engines_of(grant):
            load.link.add(grant.request.request_id, start, seconds, lifetime)

    def was_released(self, request_id: str) -> bool:
        """Return whether a request was released so recently that engines may still report it."""
        return request_id in self._released_at_by_id

    def _expire_released(self, now: float) -> None:
        while self._released_at_by_id:
            request_id, released_at = next(iter(self._released_at_by_id.items()))
            if released_at > now - RELEASED_RETENTION_SECONDS:
                return
            del self._released_at_by_id[request_id]

    def _end_transfer(self, grant: GrantState) -> None:
        for load in self._engines_of(grant):
            load.link.remove(grant.request.request_id)

    def _engines_of(self, grant: GrantState) -> Iterator[EngineLoad]:
        for name in (grant.prefill_engine, grant.decode_engine):
            load = self.engine_by_name.get(name)
            if load is not None:
                yield load

    def _add_load(self, grant: GrantState, sign: int) -> None:
        source = self.engine_by_name.get(grant.prefill_engine)
        target = self.engine_by_name.get(grant.decode_engine)
        request = grant.request
        if source is not None and grant.stage is Stage.PREFILL:
            source.prefill_count += sign
        if source is not None and grant.uses_link and grant.stage is not Stage.DECODE:
            source.kv_reserved += sign * request.prompt_tokens
        if target is None:
            return
        target.kv_reserved += sign * (request.prompt_tokens + request.max_tokens)
        if grant.stage is Stage.DECODE:
            target.decoding += sign
            target.release_rate = max(0.0, target.release_rate + sign / grant.hold_seconds)
        else:
            target.reserved += sign
            target.transferring += sign * (grant.stage is Stage.TRANSFER)


def announced_grant(entry: EntryKey, record: GrantRecord, hold: float, now: float) -> GrantState:
    """Return the state of a grant that a previous owner gave and its entry announced.

    Parameters
    ----------
    entry
        The entry process that announced the grant.
    record
        The announced grant.
    hold
        Expected time in seconds for which the request occupies a decode slot.
    now
        Time of the announcement, taken as the time of the grant.
    """
    request = PlaceRequest(
        record.request_id,
        record.attempt,
        "",
        record.workspace,
        "",
        Urgency.NORMAL,
        record.prompt_tokens,
        record.max_tokens,
        (),
        0.0,
        0.0,
        0,
    )
    return GrantState(
        request,
        entry,
        record.prefill_engine,
        record.decode_engine,
        now,
        now,
        record.stage,
        now,
        hold,
    )
