"""The task that follows the configuration in force as the own VM's control process sends it."""

from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.kernel import Channel, ChannelOpened, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.cluster import CatchUpRequest, ConfigurationEntries

__all__ = ["ConfigurationFeed"]


class ConfigurationFeed:
    """Applies each ``ConfigurationEntries`` message to a view.

    Parameters
    ----------
    node
        The entry process.
    view
        What the entry serves by.
    """

    def __init__(self, node: Node, view: ConfigurationView) -> None:
        self._node = node
        self._view = view
        self.inbox = node.bus.subscribe(ConfigurationEntries, ChannelOpened)

    def _tell_offset(self, channel: Channel) -> None:
        """Tell a control process that started anew what is served by, so that it does no less."""
        peer = channel.peer
        is_own = peer.process == "control" and peer.vm == self._node.identity.vm
        if is_own and self._view.offset >= 0:
            channel.send(CatchUpRequest(self._view.offset))

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            envelope = await self.inbox.get()
            if isinstance(envelope.message, ChannelOpened):
                self._tell_offset(envelope.message.channel)
            elif self._view.apply(envelope.message):
                self._node.timeline.record("configuration", detail=f"offset {self._view.offset}")
                logger.bind(offset=self._view.offset).info("configuration in force")
