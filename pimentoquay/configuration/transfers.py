"""Sending what takes several messages: few receivers at once, the next part when one arrived.

After a restart of every VM all of a data centre ask the first one that is ready. Without a limit
it would hold the whole configuration in the send buffer of each of them.
"""

import asyncio
from collections.abc import Sequence

from pimentoquay.configuration.packing import packed
from pimentoquay.kernel import Channel
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.configuration import CatchUpBusy

__all__ = ["MAX_TRANSFERS", "WINDOW_PARTS", "Transfers"]

MAX_TRANSFERS = 2
"""Receivers served at once; others are told to ask elsewhere or later."""

WINDOW_PARTS = 2
"""Parts under way to one receiver."""

TAKEN_SECONDS = 3.0
"""How long a receiver has to tell that a part has arrived before it is given up."""


class Transfers:
    """The transfers of one VM."""

    def __init__(self) -> None:
        self._task_by_channel: dict[Channel, asyncio.Task[None]] = {}
        self._room_by_channel: dict[Channel, asyncio.Semaphore] = {}

    def __len__(self) -> int:
        return len(self._task_by_channel)

    def send(self, channel: Channel, messages: Sequence[ConfigurationEntries]) -> None:
        """Send messages to a control process, or say that this VM is busy."""
        self.forget_channel(channel)
        if len(messages) == 1:
            channel.send(packed(messages[0]))
            return
        if len(self._task_by_channel) >= MAX_TRANSFERS:
            channel.send(CatchUpBusy(messages[0].offset))
            return
        room = self._room_by_channel[channel] = asyncio.Semaphore(WINDOW_PARTS)
        task = asyncio.get_running_loop().create_task(_send(channel, messages, room))
        self._task_by_channel[channel] = task
        task.add_done_callback(lambda done: self._ended(channel, done))

    def push(self, channel: Channel, messages: Sequence[ConfigurationEntries]) -> None:
        """Send messages that were not asked for, unless they would cut a transfer off.

        The receiver of one sees by heartbeats what it lacks after it, and asks.
        """
        if channel not in self._task_by_channel:
            self.send(channel, messages)

    def note_taken(self, channel: Channel) -> None:
        """Note that a part has arrived."""
        room = self._room_by_channel.get(channel)
        if room is not None:
            room.release()

    def forget_channel(self, channel: Channel) -> None:
        """End the transfer to a channel, if there is one."""
        task = self._task_by_channel.pop(channel, None)
        self._room_by_channel.pop(channel, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """End every transfer."""
        for channel in tuple(self._task_by_channel):
            self.forget_channel(channel)

    def _ended(self, channel: Channel, task: "asyncio.Task[None]") -> None:
        if self._task_by_channel.get(channel) is task:
            del self._task_by_channel[channel]
            del self._room_by_channel[channel]


async def _send(
    channel: Channel, messages: Sequence[ConfigurationEntries], room: asyncio.Semaphore
) -> None:
    try:
        for message in messages:
            async with asyncio.timeout(TAKEN_SECONDS):
                await room.acquire()
            channel.send(packed(message))
        for _ in range(min(WINDOW_PARTS, len(messages))):
            async with asyncio.timeout(TAKEN_SECONDS):
                await room.acquire()
    except TimeoutError:
        # The receiver asks again, here or elsewhere, if it still can.
        return
