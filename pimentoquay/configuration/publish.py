"""Publishing configuration changes.

A change is accepted only when replay of the log accepts it. The publisher appends the change,
waits until this VM has replayed the record, and returns the outcome. If the response to the append
is lost, it appends the change again with the same change id; replay ignores the duplicate.
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
"""Name of the log stream that holds the configuration."""

POLL_SECONDS = 0.02
"""Interval at which a publisher checks whether its change has been replayed."""

REAPPEND_WAIT_SECONDS = 1.0
"""Time to wait for the outcome of an append whose response was lost, before it is repeated."""


class ConfigurationSource(Protocol):
    """The attributes of this VM's configuration that a publisher reads."""

    state: ConfigurationState | None
    is_ready: bool


@dataclass(frozen=True)
class Publisher:
    """Publishes configuration changes from this VM.

    Parameters
    ----------
    log
        Client of the log service.
    timers
        Clock and timers of the process.
    source
        This VM's copy of the configuration.
    timeout
        Maximum time until a publish returns, in seconds.
    retry
        Wait after a failed append, in seconds.
    log_timeout
        Timeout of one append, in seconds.
    """

    log: LogClient
    timers: TimerService
    source: ConfigurationSource
    timeout: float
    retry: float
    log_timeout: float

    async def publish(self, record: ConfigurationRecord) -> PublishAnswer:
        """Publish a change and return its outcome.

        The version of ``record`` has to be 0, since replay of the log assigns the version.
        """
        refusal = self._refusal(record)
        if refusal is not None:
            return refusal
        deadline = self.timers.now() + self.timeout
        may_be_on_log = False
        while self.timers.now() < deadline:
            appended = await self._append(record)
            may_be_on_log = may_be_on_log or appended is not False
            if appended is not False:
                max_wait = self.timeout if appended else REAPPEND_WAIT_SECONDS
                until = min(deadline, self.timers.now() + max_wait)
                outcome = await self._wait_for_outcome(record.change_id, until)
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
        """Append the record; return whether it was appended, ``None`` if that is unknown."""
        try:
            async with asyncio.timeout(self.log_timeout):
                await self.log.append(STREAM, encode(record))
        except LogUnavailableError:
            return False
        except (PimentoquayError, OSError, TimeoutError):
            return None
        return True

    async def _wait_for_outcome(self, change_id: str, until: float) -> ChangeOutcome | None:
        while True:
            state = self.source.state
            outcome = state.outcome_by_change.get(change_id) if state is not None else None
            if outcome is not None or self.timers.now() >= until:
                return outcome
            await self.timers.sleep(POLL_SECONDS)


def fault_of_change(record: ConfigurationRecord, state: ConfigurationState) -> str:
    """Return why a change is invalid and must not be appended; empty if it is valid."""
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
