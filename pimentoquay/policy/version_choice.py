"""Choice of engines while several software versions serve in one service."""

from collections.abc import Callable, Collection, Iterable, Sequence

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
    is_shrinking: Callable[[EngineEntry], bool],
) -> tuple[Sequence[EngineEntry], Sequence[EngineEntry], Sequence[EngineEntry]]:
    """Return the decode engines for a stream in groups, to be tried in order.

    Failure pattern: a release replaces the engines of a version one after the other, and streams of
    that version come back to those that are left. New streams leave room there: they use none of a
    version for which streams wait, and those of a version that loses engines last.

    Parameters
    ----------
    engines, prefill_engines
        Engines that can be used for each stage.
    software
        Version that began the stream, or empty if none has.
    awaited
        Versions for which streams wait.
    is_shrinking
        Returns whether the version of an engine has lost an engine lately.

    Returns
    -------
    tuple
        Engines whose version has a prefill engine, those of them whose version is shrinking, and
        the others, which have to read the prompt themselves.
    """
    usable = [
        each
        for each in engines
        if may_run(each, software) and (software or each.software_version not in awaited)
    ]
    readable = {each.software_version for each in prefill_engines}
    first, shrinking, others = [], [], []
    for engine in usable:
        if engine.software_version not in readable:
            others.append(engine)
        elif not software and is_shrinking(engine):
            shrinking.append(engine)
        else:
            first.append(engine)
    return first, shrinking, others
