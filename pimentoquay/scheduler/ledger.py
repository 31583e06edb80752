"""The ledger of one shard: which grant holds what on which engine.

What a grant holds follows from its stage alone, so that a change of stage gives back and takes
again in one step, and nothing can be freed twice.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from pimentoquay.messages.placement import GrantRecord, PlaceRequest, Stage, Urgency
from pimentoquay.policy import EngineLoad

__all__ = ["EntryKey", "GrantState", "Ledger", "announced_grant"]

RELEASED_KEPT_SECONDS = 4.0
"""How long a released request is remembered, while engines may still report it."""


@dataclass(frozen=True)
class EntryKey:
    """One run of one entry process."""

    vm: str
    process: str
    incarnation: int


@dataclass
class GrantState:
    """One grant; times are in seconds of the scheduler's clock."""

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
        """Tell whether the KV cache has to travel."""
        return self.prefill_engine != self.decode_engine


class Ledger:
    """Grants by request, and the load of each engine that follows from them."""

    def __init__(self) -> None:
        self.engine_by_name: dict[str, EngineLoad] = {}
        self._grant_by_id: dict[str, GrantState] = {}
        self._held_by_workspace: dict[str, int] = {}
        self._released_at_by_id: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._grant_by_id)

    def __iter__(self) -> Iterator[GrantState]:
        return iter(tuple(self._grant_by_id.values()))

    def get(self, request_id: str) -> GrantState | None:
        """Return the grant of a request, or ``None``."""
        return self._grant_by_id.get(request_id)

    def held_by(self, workspace: str) -> int:
        """Return how many grants a workspace holds."""
        return self._held_by_workspace.get(workspace, 0)

    def add(self, grant: GrantState) -> None:
        """Enter a grant; ``ValueError`` if the request holds one already."""
        request_id = grant.request.request_id
        if request_id in self._grant_by_id:
            raise ValueError(f"request {request_id!r} holds a grant already")
        self._grant_by_id[request_id] = grant
        workspace = grant.request.workspace
        self._held_by_workspace[workspace] = self.held_by(workspace) + 1
        self._released_at_by_id.pop(request_id, None)
        self._count(grant, 1)

    def move(self, grant: GrantState, stage: Stage, now: float) -> None:
        """Change a grant's stage and with it what the grant holds."""
        self._count(grant, -1)
        if stage is Stage.DECODE:
            self._end_transfer(grant)
        grant.stage = stage
        grant.stage_since = now
        grant.missing_reports = 0
        self._count(grant, 1)

    def free(self, request_id: str, now: float) -> GrantState | None:
        """Give back everything a request holds; ``None`` if that is nothing."""
        grant = self._grant_by_id.pop(request_id, None)
        if grant is None:
            return None
        self._count(grant, -1)
        self._end_transfer(grant)
        workspace = grant.request.workspace
        left = self._held_by_workspace.pop(workspace) - 1
        if left:
            self._held_by_workspace[workspace] = left
        self._released_at_by_id[request_id] = now
        self._forget_released(now)
        return grant

    def cross(self, grant: GrantState, start: float, seconds: float, life: float) -> None:
        """Enter a grant's transfer on the links of both its engines."""
        for load in self._ends_of(grant):
            load.link.add(grant.request.request_id, start, seconds, life)

    def was_released(self, request_id: str) -> bool:
        """Tell whether a request's grant ended so lately that engines may still report it."""
        return request_id in self._released_at_by_id

    def _forget_released(self, now: float) -> None:
        while self._released_at_by_id:
            request_id, released_at = next(iter(self._released_at_by_id.items()))
            if released_at > now - RELEASED_KEPT_SECONDS:
                return
            del self._released_at_by_id[request_id]

    def _end_transfer(self, grant: GrantState) -> None:
        for load in self._ends_of(grant):
            load.link.remove(grant.request.request_id)

    def _ends_of(self, grant: GrantState) -> Iterator[EngineLoad]:
        for name in (grant.prefill_engine, grant.decode_engine):
            load = self.engine_by_name.get(name)
            if load is not None:
                yield load

    def _count(self, grant: GrantState, sign: int) -> None:
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
    """Return a grant of an earlier owner as its entry announced it."""
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
