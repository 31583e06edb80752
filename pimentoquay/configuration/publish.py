"""Publishing a change, and learning what became of it.

A change counts as accepted only once the fold has accepted it. The publisher appends it, reads
its own record back through the fold, and answers by that. Where the append's answer was lost
the change is appended again under the same change id, which folds once.
"""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.kernel import PimentoquayError, ResultCode, TimerService
from pimentoquay.messages import encode
from pimentoquay.messages.configuration import ChangeOutcome
from pimentoquay.messages.operator import PublishAnswer
from pimentoquay.messages.workspaces import ConfigurationRecord
from pimentoquay.services.base import LogClient, LogUnavailableError

__all__ = ["STREAM", "ConfigurationSource", "Publisher"]

STREAM = "configuration"
"""The log's stream that holds the configuration."""

POLL_SECONDS = 0.02
"""How often a waiting publisher looks at the fold."""

UNKNOWN_WAIT_SECONDS = 1.0
"""How long a publisher whose append's answer was lost waits before it appends again."""


class ConfigurationSource(Protocol):
    """What a publisher needs to know of this VM's configuration."""

    state: ConfigurationState | None
    is_ready: bool


@dataclass(frozen=True)
class Publisher:
    """Publishes changes through this VM; ``timeout`` and ``retry`` are in seconds."""

    log: LogClient
    timers: TimerService
    source: ConfigurationSource
    timeout: float
    retry: float
    log_timeout: float

    async def publish(self, record: ConfigurationRecord) -> PublishAnswer:
        """Publish a new change (its version is 0) and return its outcome."""
        refusal = self._refusal(record)
        if refusal is not None:
            return refusal
        deadline = self.timers.now() + self.timeout
        may_be_on_log = False
        while self.timers.now() < deadline:
            appended = await self._append(record)
            may_be_on_log = may_be_on_log or appended is not False
            if appended is not False:
                patience = self.timeout if appended else UNKNOWN_WAIT_SECONDS
                until = min(deadline, self.timers.now() + patience)
                outcome = await self._outcome(record.change_id, until)
                if outcome is not None:
                    return _answer_of(outcome)
            else:
                await self.timers.sleep(self.retry)
        if may_be_on_log:
            detail = f"not read back within {self.timeout} s; ask again with the same change id"
            return PublishAnswer(record.change_id, ResultCode.CONFIG_UNKNOWN, 0, detail)
        detail = f"nothing was appended within {self.timeout} s"
        return PublishAnswer(record.change_id, ResultCode.LOG_UNAVAILABLE, 0, detail)

    def _refusal(self, record: ConfigurationRecord) -> PublishAnswer | None:
        state = self.source.state
        if state is None or not self.source.is_ready:
            return PublishAnswer(record.change_id, ResultCode.NOT_READY, 0, "no configuration")
        known = state.outcome_by_change.get(record.change_id)
        if known is not None:
            return _answer_of(known)
        fault = fault_of_change(record, state)
        if fault:
            return PublishAnswer(record.change_id, ResultCode.CONFIG_INVALID, 0, fault)
        current = state.version_of(record.name)
        creates = record.base == 0 and state.live_version_of(record.name) == 0
        if record.base < current and not creates:
            detail = f"{record.name} is at version {current}, the change was made on {record.base}"
            return PublishAnswer(record.change_id, ResultCode.CONFIG_CONFLICT, current, detail)
        return None

    async def _append(self, record: ConfigurationRecord) -> bool | None:
        """Return whether the record was appended, ``None`` if that is not known."""
        try:
            async with asyncio.timeout(self.log_timeout):
                await self.log.append(STREAM, encode(record))
        except LogUnavailableError:
            return False
        except (PimentoquayError, OSError, TimeoutError):
            return None
        return True

    async def _outcome(self, change_id: str, until: float) -> ChangeOutcome | None:
        while True:
            state = self.source.state
            outcome = state.outcome_by_change.get(change_id) if state is not None else None
            if outcome is not None or self.timers.now() >= until:
                return outcome
            await self.timers.sleep(POLL_SECONDS)


def fault_of_change(record: ConfigurationRecord, state: ConfigurationState) -> str:
    """Return why a change may not be appended at all; empty if it may."""
    if record.version != 0 or not record.change_id or not record.name:
        return "a change needs a change id, a name and version 0"
    if record.workspace is None:
        return "" if state.live_version_of(record.name) else f"no workspace {record.name!r}"
    if record.workspace.name != record.name:
        return f"the workspace's name {record.workspace.name!r} differs from {record.name!r}"
    key_hashes = frozenset(record.workspace.key_hashes)
    for name, other in state.workspace_by_name().items():
        if name != record.name and not key_hashes.isdisjoint(other.key_hashes):
            shared = min(key_hashes.intersection(other.key_hashes))
            return f"key hash {shared} is already of workspace {name!r}"
    return ""


def _answer_of(outcome: ChangeOutcome) -> PublishAnswer:
    detail = ""
    if outcome.code is ResultCode.CONFIG_CONFLICT:
        detail = f"{outcome.name} was at version {outcome.version} when the change was read"
    return PublishAnswer(outcome.change_id, outcome.code, outcome.version, detail)
