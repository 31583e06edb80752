"""Replacements for the mechanisms for streams that are switched off.

Each function takes the original function or method of a mechanism and returns a replacement that
lacks the mechanism.
"""

from typing import Any

from pimentoquay.messages.streams import VersionsListed
from pimentoquay.policy.only_versions import DueVersion

__all__ = [
    "close_versions_to_all_streams",
    "count_unreachable_engines",
    "drop_events_before_a_wrong_one",
    "ignore_unsent_answers",
    "take_all_served_versions",
    "tell_expired_versions",
]


def close_versions_to_all_streams(original: Any) -> Any:
    """Let no stream go on at a version at which none may begin."""

    def engines_for_stream(self: Any, service: str, stages: Any, software: str = "") -> Any:
        closed = self.closed_versions(service, stages)
        engines = original(self, service, stages, software)
        return tuple(each for each in engines if each.software_version not in closed)

    return engines_for_stream


def count_unreachable_engines(original: Any) -> Any:
    """Count also the engines that are out of reach."""
    return lambda engines, software, unreachable: original(engines, software, ())


def drop_events_before_a_wrong_one(original: Any) -> Any:
    """Drop the events that were read together with a wrong one."""

    def take_sound(self: Any, events: Any) -> Any:
        sound = original(self, events)
        return sound if self._fault is None else []

    return take_sound


def ignore_unsent_answers(original: Any) -> Any:
    """Take an answer for sent once its handler has ended."""
    return property(lambda self: self._task is not None)


def take_all_served_versions(original: Any) -> Any:
    """Let an untold stream be of any version that served, whether recorded or not."""
    return lambda self, service, served, recorded, begun: set(served)


def tell_expired_versions(original: Any) -> Any:
    """Tell the peers of a version that was stored, whether it has expired meanwhile or not."""

    def record_stored(self: Any, due: DueVersion) -> None:
        version = due.service, due.software
        self.recorded.add((version,))
        self._only.confirm(due)
        self._publish(VersionsListed((self._listed(*version),)))

    return record_stored
