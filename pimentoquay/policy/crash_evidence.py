"""Search for what the requests at crashed engines have in common.

Failure pattern: a part of prompts, or one request that comes again, crashes every engine that runs
it. Other requests that were at the same engines are there by chance. A feature is a part of prompts
or the digest of one request.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from pimentoquay.policy.engine_notices import EngineStart

__all__ = [
    "MAX_TRIED_CRASHES",
    "MIN_CRASHES",
    "MIN_REQUEST_CRASHES",
    "Clearance",
    "CrashReport",
    "Features",
    "Quarantine",
    "begun_feature",
    "find_quarantines",
    "is_request",
    "request_feature",
]

MIN_CRASHES = 3
"""Crashes that a combination of parts must have in common to be quarantined.

A sound request that waits at a crashing engine is repeated at the same engine as the request that
crashed it more often than by chance, so two crashes in common do not single out the cause.
"""

MIN_REQUEST_CRASHES = 2
"""The same for a request whose answer had not begun, if no other was at all of these crashes.

A sound request that is sent on to the next engine that crashes meets the deadly one there again.
"""

MIN_CONCLUSIVE_CRASHES = 2
"""Crashes with no other possible cause that make a quarantine certain.

An engine may crash for another reason while such a request waits there, but hardly twice.
"""

MAX_TRIED_CRASHES = 5
"""Crashes from which on a quarantine that is certain is not tried again.

One of them without another possible cause makes it certain then.
"""

_REQUEST_PREFIX = "request:"
"""Prefix of the digest of a request; the id of a part of prompts has no colon."""

_BEGUN_PREFIX = "begun:"
"""Prefix of the digest of a request whose answer had begun."""

Features = frozenset[str]


def request_feature(digest: str) -> str:
    """Return the feature that is the digest of a request."""
    return _REQUEST_PREFIX + digest


def begun_feature(digest: str) -> str:
    """Return the feature that is the digest of a request whose answer had begun.

    It is weaker evidence, as long answers are at every crash.
    """
    return _BEGUN_PREFIX + digest


def is_request(feature: str) -> bool:
    """Return whether a feature is the digest of a request, and not a part of prompts."""
    return feature.startswith((_REQUEST_PREFIX, _BEGUN_PREFIX))


def _request_in(features: Features) -> str | None:
    return next(filter(is_request, features), None)


@dataclass(frozen=True)
class CrashReport:
    """Features of a request at an engine when it crashed.

    It has no parts of prompts if the answer had begun, and ``begun_feature`` of the request.
    """

    engine: EngineStart
    features: Features


@dataclass(frozen=True)
class Clearance:
    """A feature that did not cause the crash of an engine."""

    engine: EngineStart
    feature: str


@dataclass(frozen=True)
class Quarantine:
    """Combination of features that is not sent to engines, and the engines that crashed under it.

    ``is_certain`` is whether enough of the crashes have no other possible cause.
    """

    features: Features
    engines: frozenset[EngineStart]
    is_certain: bool

    @property
    def request(self) -> str | None:
        """Feature of the one request for which it holds, or ``None`` if it is for parts."""
        return _request_in(self.features)


def find_quarantines(
    reports_by_crash: Mapping[EngineStart, Collection[Features]],
) -> tuple[Quarantine, ...]:
    """Return what crashes have in common, the combination with the most crashes first.

    Failure pattern: one or more parts of prompts, or requests that come again, that crash engines,
    among sound requests that were at the same engines. Features all of whose crashes are explained
    by other ones are not blamed.

    Parameters
    ----------
    reports_by_crash
        For each crash, the features of each request that may have caused it.

    Example
    -------
    >>> reports = {
    ...     EngineStart("dec-1", 1): [frozenset({"all", "bad"}), frozenset({"all", "good"})],
    ...     EngineStart("dec-2", 1): [frozenset({"all", "bad"}), frozenset({"all", "good"})],
    ...     EngineStart("dec-3", 1): [frozenset({"any", "bad"})],
    ... }
    >>> [sorted(each.features) for each in find_quarantines(reports)]
    [['bad']]
    """
    unexplained = set(reports_by_crash)
    found = []
    while (suspect := _likeliest_feature(reports_by_crash, unexplained)) is not None:
        containing = [
            features
            for reports in reports_by_crash.values()
            for features in reports
            if suspect in features
        ]
        common = frozenset.intersection(*containing)
        crashes = frozenset(
            engine
            for engine, reports in reports_by_crash.items()
            if any(common <= features for features in reports)
        )
        found.append(Quarantine(common, crashes, _is_certain(reports_by_crash, common, crashes)))
        unexplained -= crashes
    return tuple(found)


def _likeliest_feature(
    reports_by_crash: Mapping[EngineStart, Collection[Features]], unexplained: set[EngineStart]
) -> str | None:
    """Return the feature with enough crashes that explains most of the unexplained ones, if any."""
    crashes_by_feature: dict[str, list[EngineStart]] = {}
    for engine, reports in reports_by_crash.items():
        for features in reports:
            for feature in features:
                crashes_by_feature.setdefault(feature, []).append(engine)

    def rank(feature: str) -> tuple[int, int, int, str]:
        reported = crashes_by_feature[feature]
        crashes = set(reported)
        # Of features with the same crashes, fewer requests have the more specific one.
        return len(crashes.intersection(unexplained)), len(crashes), -len(reported), feature

    candidates = [
        feature
        for feature, reported in crashes_by_feature.items()
        if not unexplained.isdisjoint(reported)
        and _has_enough_crashes(reports_by_crash, feature, set(reported))
    ]
    return max(candidates, key=rank, default=None)


def _has_enough_crashes(
    reports_by_crash: Mapping[EngineStart, Collection[Features]],
    feature: str,
    crashes: Collection[EngineStart],
) -> bool:
    if len(crashes) >= MIN_CRASHES:
        return True
    return (
        len(crashes) >= MIN_REQUEST_CRASHES
        and feature.startswith(_REQUEST_PREFIX)
        and _is_singled_out(reports_by_crash, feature, crashes)
    )


def _is_singled_out(
    reports_by_crash: Mapping[EngineStart, Collection[Features]],
    feature: str,
    crashes: Iterable[EngineStart],
) -> bool:
    """Return whether no request but that with a feature was at all of these crashes."""
    others = (
        {
            each
            for features in reports_by_crash[crash]
            if feature not in features
            for each in features
        }
        for crash in crashes
    )
    return not any(map(is_request, set.intersection(*others)))


def _is_certain(
    reports_by_crash: Mapping[EngineStart, Collection[Features]],
    common: Features,
    crashes: Collection[EngineStart],
) -> bool:
    conclusive = sum(_is_conclusive(reports_by_crash[each], common) for each in crashes)
    if conclusive >= MIN_CONCLUSIVE_CRASHES:
        return True
    request = _request_in(common)
    if request is not None and len(crashes) >= MIN_CRASHES:
        return _is_singled_out(reports_by_crash, request, crashes)
    return conclusive > 0 and len(crashes) >= MAX_TRIED_CRASHES


def _is_conclusive(reports: Collection[Features], common: Features) -> bool:
    """Return whether nothing but a combination can have caused a crash."""
    request = _request_in(common)
    if request is not None:
        return all(request in features for features in reports)
    return all(
        {each for each in features if not is_request(each)} == common for features in reports
    )
