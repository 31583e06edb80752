"""Messages that every gateway has to learn, such as that an engine leaves.

The gateway that has learned something first sends it to its peers. Each of them forwards what was
new to it, so a notice also reaches gateways that the first one has no channel to. A new channel
begins with all that is known, which informs gateways that were cut off, suspended or restarted.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pimentoquay.gateway.part_sender import PartSender
from pimentoquay.kernel import Channel
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import (
    EngineLimit,
    EnginesLeaving,
    LeavingEngine,
    LimitsNamed,
)
from pimentoquay.policy.engine_limits import EngineLimits, LimitNotice
from pimentoquay.policy.engine_notices import EngineNotices, EngineStart
from pimentoquay.policy.mesh_plan import MeshPlan

__all__ = ["LeavingNotices", "LimitNotices", "NoticeExchange", "NoticeHandler"]

Known = TypeVar("Known")


@dataclass(frozen=True)
class NoticeHandler:
    """Functions for one type of notice.

    ``apply`` applies a message of a peer and returns the part of it that was new, or ``None``.
    ``snapshot`` returns a message with all that is known, or ``None`` if nothing is.
    """

    apply: Callable[[Any], Any]
    snapshot: Callable[[], Any]


class NoticeExchange:
    """Sends notices to all gateways.

    Parameters
    ----------
    channels
        Returns the channels to send on, one for each peer.
    sender
        Sends messages in parts of bounded size.
    plan
        Returns the current plan of the channels between the VMs.
    """

    def __init__(
        self,
        channels: Callable[[], tuple[Channel, ...]],
        sender: PartSender,
        plan: Callable[[], MeshPlan],
    ) -> None:
        self._channels = channels
        self._sender = sender
        self._plan = plan
        self._handler_by_type: dict[type, NoticeHandler] = {}

    def register(self, message_type: type, handler: NoticeHandler) -> None:
        """Use a handler for the messages of a type."""
        self._handler_by_type[message_type] = handler

    def publish(self, message: Any) -> None:
        """Send a notice to all peers."""
        self._sender.send(self._channels(), message)

    def receive(self, message: Any, source: str) -> None:
        """Apply a peer's notice, and forward what was new."""
        handler = self._handler_by_type.get(type(message))
        new = handler.apply(message) if handler is not None else None
        if new is None:
            return
        plan = self._plan()
        targets = [
            each
            for each in self._channels()
            if each.peer.vm != source
            and (plan.is_full or plan.should_forward(source, each.peer.vm))
        ]
        self._sender.send(targets, new)

    def send_all(self, channel: Channel) -> None:
        """Send all that is known on a new channel."""
        for handler in self._handler_by_type.values():
            message = handler.snapshot()
            if message is not None:
                self._sender.send((channel,), message)


class _Notices(ABC, Generic[Known]):
    """Notices of one type.

    Parameters
    ----------
    known
        What this gateway knows of the engines.
    now
        Returns the monotonic time in seconds.
    publish
        Sends a notice to all peers.
    """

    def __init__(
        self, known: Known, now: Callable[[], float], publish: Callable[[Any], None]
    ) -> None:
        self._known = known
        self._now = now
        self._publish = publish
        self.handler = NoticeHandler(self._apply, self._snapshot)

    @abstractmethod
    def _apply(self, message: Any) -> Any:
        """Apply a message of a peer; see ``NoticeHandler``."""

    @abstractmethod
    def _snapshot(self) -> Any:
        """Return a message with all that is known; see ``NoticeHandler``."""


class LeavingNotices(_Notices[EngineNotices]):
    """Notices of engines that leave."""

    def report(self, start: EngineStart) -> None:
        """Tell the peers that an engine has said to this gateway that it leaves."""
        self._publish(_leaving_message((start,)))

    def _apply(self, message: EnginesLeaving) -> EnginesLeaving | None:
        starts = [EngineStart(each.engine, each.incarnation) for each in message.engines]
        new = self._known.record_leaving(starts, self._now())
        if not new:
            return None
        logger.bind(engines=",".join(each.id for each in new)).info("engines are leaving")
        return _leaving_message(new)

    def _snapshot(self) -> EnginesLeaving | None:
        return _leaving_message(self._known.leaving) if self._known.leaving else None


class LimitNotices(_Notices[EngineLimits]):
    """Notices of the limits that engines name."""

    def report(self, notice: LimitNotice) -> None:
        """Tell the peers that an engine has named another limit, or none, to this gateway."""
        _log_limits((notice,))
        self._publish(_limits_message((notice,)))

    def _apply(self, message: LimitsNamed) -> LimitsNamed | None:
        notices = [
            LimitNotice(
                EngineStart(each.engine, each.incarnation),
                each.limit if each.limit >= 0 else None,
                each.age,
            )
            for each in message.limits
        ]
        new = self._known.learn(notices, self._now())
        _log_limits(new)
        return _limits_message(new) if new else None

    def _snapshot(self) -> LimitsNamed | None:
        notices = self._known.notices(self._now())
        return _limits_message(notices) if notices else None


def _log_limits(notices: Iterable[LimitNotice]) -> None:
    for each in notices:
        text = "engine limits its requests" if each.limit is not None else "engine ended its limit"
        logger.bind(engine=each.engine.id, limit=each.limit).info(text)


def _limits_message(notices: Iterable[LimitNotice]) -> LimitsNamed:
    return LimitsNamed(
        tuple(
            EngineLimit(
                each.engine.id,
                each.engine.incarnation,
                each.limit if each.limit is not None else -1.0,
                each.age,
            )
            for each in notices
        )
    )


def _leaving_message(starts: Iterable[EngineStart]) -> EnginesLeaving:
    return EnginesLeaving(tuple(LeavingEngine(each.id, each.incarnation) for each in starts))
