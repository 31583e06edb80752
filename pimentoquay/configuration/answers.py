"""What a control process answers to operators about workspaces and their history."""

import dataclasses

from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.publish import STREAM
from pimentoquay.kernel import Channel, PimentoquayError, ResultCode
from pimentoquay.messages import CodecError, decode
from pimentoquay.messages.configuration import ChangeOutcome
from pimentoquay.messages.operator import (
    GetAnswer,
    GetRequest,
    HistoryAnswer,
    HistoryRequest,
)
from pimentoquay.messages.workspaces import ConfigurationRecord
from pimentoquay.platform.base import LogClient

__all__ = ["answer_get", "answer_history"]

MAX_HISTORY = 50
"""The most changes of one workspace that are answered, newest ones."""


def answer_get(state: ConfigurationState | None, request: GetRequest, channel: Channel) -> None:
    """Answer with one workspace in force, or with all."""
    if state is None:
        channel.send(GetAnswer(-1, ()))
        return
    entries = [
        entry
        for name, entry in sorted(state.entry_by_name.items())
        if request.name in ("", name) and not entry.is_removal
    ]
    channel.send(GetAnswer(state.offset, tuple(entry.record for entry in entries)))


async def answer_history(
    log: LogClient,
    state: ConfigurationState | None,
    request: HistoryRequest,
    channel: Channel,
) -> None:
    """Answer with the remembered changes, and those accepted that the log still has."""
    outcomes = [
        outcome
        for outcome in (state.outcome_by_change.values() if state is not None else ())
        if outcome.name == request.name
    ][-MAX_HISTORY:]
    records = []
    for outcome in outcomes:
        record = await _record_of(log, outcome)
        if record is not None:
            records.append(record)
    channel.send(HistoryAnswer(tuple(outcomes), tuple(records)))


async def _record_of(log: LogClient, outcome: ChangeOutcome) -> ConfigurationRecord | None:
    if outcome.code is not ResultCode.CONFIG_ACCEPTED:
        return None
    try:
        page = await log.read(STREAM, outcome.offset, 0.0)
    except (PimentoquayError, OSError, TimeoutError):
        return None
    for item in page.records:
        if item.offset == outcome.offset:
            return _versioned(item.data, outcome.version)
    return None


def _versioned(data: bytes, version: int) -> ConfigurationRecord | None:
    try:
        record = decode(data)
    except CodecError:
        return None
    if not isinstance(record, ConfigurationRecord):
        return None
    return dataclasses.replace(record, version=version)
