"""Responses to operator requests for workspaces and their history."""

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
from pimentoquay.services.base import LogClient

__all__ = ["answer_get", "answer_history"]

WORKSPACES_PER_PAGE = 500
"""Maximum number of workspaces in one response."""

MAX_HISTORY_CHANGES = 50
"""Maximum number of changes in one response; the newest ones are returned."""


def answer_get(state: ConfigurationState | None, request: GetRequest, channel: Channel) -> None:
    """Send one workspace in force, or a page of all of them in order of name."""
    if state is None:
        channel.send(GetAnswer(-1, (), False))
        return
    names = sorted(
        name
        for name, entry in state.entry_by_name.items()
        if request.name in ("", name) and name > request.after_name and not entry.is_removal
    )
    page = names[:WORKSPACES_PER_PAGE]
    records = tuple(state.entry_by_name[name].record for name in page)
    channel.send(GetAnswer(state.offset, records, len(page) < len(names)))


async def answer_history(
    log: LogClient,
    state: ConfigurationState | None,
    request: HistoryRequest,
    channel: Channel,
) -> None:
    """Send the newest outcomes of a workspace's changes and the records of the accepted ones.

    A record that is no longer in force is read from the log, and left out if that fails.
    """
    outcomes = [
        outcome
        for outcome in (state.outcome_by_change.values() if state is not None else ())
        if outcome.name == request.name
    ][-MAX_HISTORY_CHANGES:]
    records = []
    for outcome in outcomes:
        assert state is not None
        entry = state.entry_by_name.get(request.name)
        if entry is not None and entry.version == outcome.version:
            record: ConfigurationRecord | None = entry.record
        else:
            record = await _read_record(log, outcome, state.log_base)
        if record is not None:
            records.append(record)
    channel.send(HistoryAnswer(tuple(outcomes), tuple(records)))


async def _read_record(
    log: LogClient, outcome: ChangeOutcome, log_base: int
) -> ConfigurationRecord | None:
    if outcome.code is not ResultCode.CONFIG_ACCEPTED or outcome.offset < log_base:
        return None
    try:
        page = await log.read(STREAM, outcome.offset - log_base, 0.0)
    except (PimentoquayError, OSError, TimeoutError):
        return None
    for item in page.records:
        if log_base + item.offset == outcome.offset:
            return _decode_with_version(item.data, outcome.version)
    return None


def _decode_with_version(data: bytes, version: int) -> ConfigurationRecord | None:
    try:
        record = decode(data)
    except CodecError:
        return None
    if not isinstance(record, ConfigurationRecord):
        return None
    return dataclasses.replace(record, version=version)
