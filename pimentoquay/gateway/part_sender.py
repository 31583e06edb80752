"""Sending of messages to peers in parts of bounded size, between which other work is done."""

from collections import deque
from collections.abc import Iterable
from typing import Any

from pimentoquay.gateway.message_parts import parts_of
from pimentoquay.kernel import Channel, TimerService

__all__ = ["PartSender"]

MAX_UNSENT_BYTES = 1024 * 1024
"""Size of a channel's send buffer above which its next part waits, in bytes."""

BUFFER_CHECK_SECONDS = 0.05
"""Interval at which channels with such a buffer are looked at again."""


class PartSender:
    """Sends messages in parts; the messages of one type keep their order on each channel.

    Something new is thus never overtaken by the rest of what was sent before. A message of another
    type, such as a heartbeat, does not wait.

    Parameters
    ----------
    timers
        The process's timers.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._waiting: dict[tuple[Channel, type], deque[Any]] = {}
        self._newest_split: tuple[Any, tuple[Any, ...]] = (None, ())
        self._is_turn_due = False

    def send(self, channels: Iterable[Channel], message: Any) -> None:
        """Send a message on each channel."""
        parts = self._parts_of(message)
        for channel in channels:
            self._send_parts(channel, parts)

    def close(self, channel: Channel, other: Channel | None) -> None:
        """Send what waits for a channel that is closed on another one to the same peer, if any.

        Without another one it is dropped, as a new channel begins with all that is known.
        """
        for key in [each for each in self._waiting if each[0] is channel]:
            waiting = self._waiting.pop(key)
            if other is not None:
                self._send_parts(other, tuple(waiting))

    def _parts_of(self, message: Any) -> tuple[Any, ...]:
        # Peers that connect at the same time are sent the same parts, which are encoded once.
        if message == self._newest_split[0]:
            return self._newest_split[1]
        parts = parts_of(message)
        if len(parts) > 1:
            self._newest_split = message, parts
        return parts

    def _send_parts(self, channel: Channel, parts: tuple[Any, ...]) -> None:
        key = channel, type(parts[0])
        waiting = self._waiting.get(key)
        if waiting is not None:
            waiting.extend(parts)
            return
        channel.send(parts[0])
        if len(parts) > 1:
            self._waiting[key] = deque(parts[1:])
            self._schedule_turn(0.0)

    def _schedule_turn(self, seconds: float) -> None:
        if not self._is_turn_due:
            self._is_turn_due = True
            self._timers.after(seconds, self._send_next)

    def _send_next(self) -> None:
        """Send one part, on each channel on which it is the next one."""
        self._is_turn_due = False
        part = None
        for (channel, kind), waiting in tuple(self._waiting.items()):
            is_another = part is not None and part is not waiting[0]
            if is_another or channel.unsent_bytes > MAX_UNSENT_BYTES:
                continue
            part = waiting.popleft()
            channel.send(part)
            if not waiting:
                del self._waiting[channel, kind]
        if self._waiting:
            self._schedule_turn(0.0 if part is not None else BUFFER_CHECK_SECONDS)
