"""Flow control for configuration transfers of several messages.

After a restart of every VM, all VMs of a data centre send a request to the first one that is ready.
Without limits on transfers and on parts in flight it would hold a copy of the whole configuration
in the send buffer of each of them.
"""

import asyncio
from collections.abc import Sequence

from pimentoquay.configuration.packing import pack
from pimentoquay.kernel import Channel
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.configuration import CatchUpBusy

__all__ = ["MAX_TRANSFERS", "WINDOW_PARTS", "Transfers"]

MAX_TRANSFERS = 2
"""Maximum number of concurrent transfers; further requests get a busy response."""

WINDOW_PARTS = 2
"""Maximum number of unacknowledged parts in one transfer."""

ACK_TIMEOUT_SECONDS = 3.0
"""Time without an acknowledgement of a part after which a transfer is aborted."""


class Transfers:
    """Configuration transfers from this VM to other control processes."""

    def __init__(self) -> None:
        self._task_by_channel: dict[Channel, asyncio.Task[None]] = {}
        self._window_by_channel: dict[Channel, asyncio.Semaphore] = {}

    def __len__(self) -> int:
        return len(self._task_by_channel)

    def send(self, channel: Channel, messages: Sequence[ConfigurationEntries]) -> None:
        """Send messages to a control process, or a busy response at the transfer limit.

        A transfer to the same channel that is in progress is aborted.
        """
        self.forget_channel(channel)
        if len(messages) == 1:
            channel.send(pack(messages[0]))
            return
        if len(self._task_by_channel) >= MAX_TRANSFERS:
            channel.send(CatchUpBusy(messages[0].offset))
            return
        window = self._window_by_channel[channel] = asyncio.Semaphore(WINDOW_PARTS)
        task = asyncio.get_running_loop().create_task(_send(channel, messages, window))
        self._task_by_channel[channel] = task
        task.add_done_callback(lambda done: self._on_transfer_done(channel, done))

    def push(self, channel: Channel, messages: Sequence[ConfigurationEntries]) -> None:
        """Send unrequested messages, unless a transfer to the channel is in progress.

        The receiver learns from heartbeats what it still lacks after that transfer, and requests
        it.
        """
        if channel not in self._task_by_channel:
            self.send(channel, messages)

    def note_part_received(self, channel: Channel) -> None:
        """Allow the next part to be sent, because the receiver acknowledged one."""
        window = self._window_by_channel.get(channel)
        if window is not None:
            window.release()

    def forget_channel(self, channel: Channel) -> None:
        """Abort the transfer to a channel, if there is one."""
        task = self._task_by_channel.pop(channel, None)
        self._window_by_channel.pop(channel, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Abort every transfer."""
        for channel in tuple(self._task_by_channel):
            self.forget_channel(channel)

    def _on_transfer_done(self, channel: Channel, task: "asyncio.Task[None]") -> None:
        if self._task_by_channel.get(channel) is task:
            del self._task_by_channel[channel]
            del self._window_by_channel[channel]


async def _send(
    channel: Channel, messages: Sequence[ConfigurationEntries], window: asyncio.Semaphore
) -> None:
    try:
        for message in messages:
            async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                await window.acquire()
            channel.send(pack(message))
        for _ in range(min(WINDOW_PARTS, len(messages))):
            async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                await window.acquire()
    except TimeoutError:
        # A receiver that is still alive repeats its request to this or another VM.
        return
