"""The entries that engines write about themselves in the platform's store."""

from pimentoquay.platform.fields import DecodeError, object_of, optional, required
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.transport.websocket import split_address

__all__ = ["decode_engine_entry"]

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
_STAGE_BY_WORD = {
    "prefill": EngineStage.PREFILL,
    "decode": EngineStage.DECODE,
    "colocated": EngineStage.BOTH,
}


def decode_engine_entry(engine_id: str, data: bytes) -> EngineEntry:
    """Return the entry of an engine; ``DecodeError`` if the bytes name no engine to use.

    Anybody may have written the bytes, so every field is checked.
    """
    item = object_of(data, engine_id)
    state = required(item, "state", str)
    if state not in _IS_DRAINING_BY_STATE:
        raise DecodeError(f"{engine_id}: state = {state!r}")
    stage = item.get("stage")
    if stage is not None and stage not in _STAGE_BY_WORD:
        raise DecodeError(f"{engine_id}: stage = {stage!r}")
    address = required(item, "address", str)
    try:
        split_address(address)
    except ValueError as error:
        raise DecodeError(f"{engine_id}: address: {error}") from None
    return EngineEntry(
        id=engine_id,
        service=required(item, "service", str),
        address=address,
        data_centre=required(item, "zone", str),
        is_draining=_IS_DRAINING_BY_STATE[state],
        slots=required(item, "slotCount", int),
        stage=_STAGE_BY_WORD[stage] if stage is not None else EngineStage.NONE,
        # The Unix millisecond of the engine's start, which tells two starts of one id apart.
        incarnation=optional(item, "born", int, 0),
        sequence=optional(item, "seq", int, 0),
    )
