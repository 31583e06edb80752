"""Choice of engines while several software versions serve in one service."""

from collections.abc import Collection, Container, Iterable

from pimentoquay.policy.fleet import STREAM_STAGES, EngineEntry

__all__ = ["can_go_on", "decode_share", "engines_for", "may_run", "reached_share"]


def may_run(engine: EngineEntry, software: str, closed: Collection[str] = ()) -> bool:
    """Return whether an engine may run a stream.

    Parameters
    ----------
    engine
        The engine.
    software
        Version that began the stream, or empty if none has.
    closed
        Versions at which no new stream may begin.
    """
    if software:
        return engine.software_version == software
    return engine.software_version not in closed


def can_go_on(engines: Iterable[EngineEntry], software: str) -> bool:
    """Return whether any of the engines may go on with a stream that began at a version."""
    return any(
        may_run(each, software) and each.stage in STREAM_STAGES and not each.is_draining
        for each in engines
    )


def decode_share(engines: Iterable[EngineEntry], software: str) -> float:
    """Return the share of the engines for streams that may run one.

    It is 1 for a stream that has not begun, also if no engine is listed.

    Parameters
    ----------
    engines
        Engines of a pool.
    software
        Version that began the stream, or empty if none has.
    """
    if not software:
        return 1.0
    usable = [each for each in engines if each.stage in STREAM_STAGES and not each.is_draining]
    return sum(may_run(each, software) for each in usable) / max(1, len(usable))


def reached_share(
    engines: Iterable[EngineEntry], software: str, unreachable: Container[str]
) -> float:
    """Return the share of the engines for streams that may run one, of those that are reached.

    Failure pattern: engines end together with VMs, and stay listed until their entries expire. If
    no engine is reached, all count, since the cause may lie with this VM.

    Parameters
    ----------
    engines
        Engines of a service.
    software
        Version that began the stream.
    unreachable
        Ids of the engines that could not be connected to since they were last reached.
    """
    usable = [each for each in engines if each.stage in STREAM_STAGES and not each.is_draining]
    reached = [each for each in usable if each.id not in unreachable]
    return decode_share(reached or usable, software)


def engines_for(
    engines: Iterable[EngineEntry], software: str, awaited: Collection[str]
) -> tuple[EngineEntry, ...]:
    """Return the engines that may run a stream.

    Failure pattern: a release replaces the engines of a version one after the other, and streams of
    that version come back to those that are left. New streams use none of a version for which
    others wait that are to be served before them.

    Parameters
    ----------
    engines
        Engines that can be used.
    software
        Version that began the stream, or empty if none has.
    awaited
        Versions for which streams wait that are to be served before.
    """
    return tuple(
        each
        for each in engines
        if may_run(each, software) and (software or each.software_version not in awaited)
    )
