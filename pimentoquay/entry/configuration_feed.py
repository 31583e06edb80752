"""Task that receives the configuration in force from the control process of the entry's VM."""

from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.kernel import Channel, ChannelOpened, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.cluster import CatchUpRequest, ConfigurationEntries

__all__ = ["ConfigurationFeed"]


class ConfigurationFeed:
    """Task that applies each ``ConfigurationEntries`` message to a view.

    Parameters
    ----------
    node
        The entry process.
    view
        The entry's configuration, which is updated.
    """

    def __init__(self, node: Node, view: ConfigurationView) -> None:
        self._node = node
        self._view = view
        self.inbox = node.bus.subscribe(ConfigurationEntries, ChannelOpened)

    def _send_offset(self, channel: Channel) -> None:
        """Report the configuration's offset to the VM's control process when it connects.

        A restarted control process can then catch up to at least the configuration that the entry
        already applies.
        """
        peer = channel.peer
        is_own = peer.process == "control" and peer.vm == self._node.identity.vm
        if is_own and self._view.offset >= 0:
            channel.send(CatchUpRequest(self._view.offset))

    async def run(self) -> None:
        """Apply each received configuration message until cancelled."""
        while True:
            envelope = await self.inbox.get()
            if isinstance(envelope.message, ChannelOpened):
                self._send_offset(envelope.message.channel)
            elif self._view.apply(envelope.message):
                self._node.timeline.record("configuration", detail=f"offset {self._view.offset}")
                logger.bind(offset=self._view.offset).info("configuration in force")
