"""Decode the entries that engines write about themselves to the platform's store."""

from pimentoquay.kernel.input_checks import can_be_header, describe
from pimentoquay.platform.fields import DecodeError, optional, parse_json, required
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.transport.addresses import check_address

__all__ = ["decode_engine_entry"]

MAX_VERSION_LENGTH = 64
"""Maximum length of a version, in characters; a longer one counts as not stated."""

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
_STAGE_BY_NAME = {
    "prefill": EngineStage.PREFILL,
    "decode": EngineStage.DECODE,
    "colocated": EngineStage.BOTH,
}


def decode_engine_entry(engine_id: str, data: bytes) -> EngineEntry:
    """Decode the entry of an engine; raise ``DecodeError`` if it is invalid.

    Any process may write to the store, so every field is checked. Only ``stage`` and ``born`` may
    be missing, as plain services have no stages, and not all deployments state starts.
    """
    if not can_be_header(engine_id):
        raise DecodeError(f"id = {describe(engine_id)}: cannot be sent in a header")
    item = parse_json(data, engine_id)
    state = required(item, "state", str)
    if state not in _IS_DRAINING_BY_STATE:
        raise DecodeError(f"{engine_id}: state = {describe(state)}")
    stage = optional(item, "stage", str, "")
    if stage and stage not in _STAGE_BY_NAME:
        raise DecodeError(f"{engine_id}: stage = {describe(stage)}")
    try:
        address = check_address(required(item, "address", str))
    except ValueError as error:
        raise DecodeError(f"{engine_id}: address: {error}") from None
    required(item, "coldRemainingMs", float, 0)
    return EngineEntry(
        id=engine_id,
        service=required(item, "service", str),
        address=address,
        data_centre=required(item, "zone", str),
        is_draining=_IS_DRAINING_BY_STATE[state],
        slots=required(item, "slotCount", int, 0),
        stage=_STAGE_BY_NAME[stage] if stage else EngineStage.NONE,
        # Unix milliseconds of the start, which tells starts apart; not all deployments state it.
        incarnation=required(item, "born", int, 0) if "born" in item else 0,
        sequence=required(item, "seq", int, 0),
        software=_software(required(item, "version", str)),
    )


def _software(version: str) -> str:
    """Return a version, or an empty text for one that is too long."""
    return version if len(version) <= MAX_VERSION_LENGTH else ""
