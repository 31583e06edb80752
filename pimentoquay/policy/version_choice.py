"""Choice of engines while several software versions serve in one service."""

from collections.abc import Collection, Iterable, Sequence

from pimentoquay.policy.fleet import DECODE_STAGES, EngineEntry

__all__ = ["can_go_on", "group_by_version", "may_run"]


def may_run(engine: EngineEntry, software: str) -> bool:
    """Return whether an engine may run a stream that began at a version; empty if none has."""
    return software in ("", engine.software_version)


def can_go_on(engines: Iterable[EngineEntry], software: str) -> bool:
    """Return whether any of the engines may go on with a stream that began at a version."""
    return any(may_run(each, software) and each.stage in DECODE_STAGES for each in engines)


def group_by_version(
    engines: Iterable[EngineEntry],
    prefill_engines: Iterable[EngineEntry],
    software: str,
    awaited: Collection[str],
) -> tuple[Sequence[EngineEntry], Sequence[EngineEntry]]:
    """Return the decode engines that may run a stream.

    Failure pattern: a release replaces the engines of a version one after the other, and streams of
    that version come back to those that are left. New streams use none of a version for which
    others wait.

    Parameters
    ----------
    engines, prefill_engines
        Engines that can be used for each stage.
    software
        Version that began the stream, or empty if none has.
    awaited
        Versions for which streams wait.

    Returns
    -------
    tuple
        Engines whose version has a prefill engine, and the others, which have to read the prompt
        themselves.
    """
    readable = {each.software_version for each in prefill_engines}
    with_prefill: list[EngineEntry] = []
    others: list[EngineEntry] = []
    for engine in engines:
        version = engine.software_version
        if not may_run(engine, software) or (not software and version in awaited):
            continue
        (with_prefill if version in readable else others).append(engine)
    return with_prefill, others
