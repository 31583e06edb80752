"""A new configuration that is put in force in several passes of the event loop.

Decoding 8,500 workspaces takes some tenths of a second on a small machine. Requests are served by
the configuration before it meanwhile.
"""

import asyncio
import time
from collections.abc import Callable

from pimentoquay.platform.configuration import ConfigurationDecoder
from pimentoquay.policy.fleet import FleetConfiguration

__all__ = ["ConfigurationUpdate"]

PIECE_SECONDS = 0.004
"""Time for which workspaces are decoded in one pass of the event loop. Turns of connections have
1 ms of a pass, which would stretch an update to seconds on a busy machine."""


class ConfigurationUpdate:
    """Decodes a valid configuration, as much as fits into each pass of the event loop.

    Parameters
    ----------
    decoder
        The configuration.
    on_decoded
        Called with the whole configuration, unless the update was cancelled before.
    """

    def __init__(
        self, decoder: ConfigurationDecoder, on_decoded: Callable[[FleetConfiguration], None]
    ) -> None:
        self._decoder = decoder
        self._on_decoded = on_decoded
        self._is_cancelled = False

    def run(self) -> None:
        """Decode until the time of a pass is over, and go on in the next passes."""
        if self._is_cancelled:
            return
        ends_at = time.perf_counter() + PIECE_SECONDS
        while self._decoder.decode_more():
            if time.perf_counter() >= ends_at:
                asyncio.get_running_loop().call_soon(self.run)
                return
        self._on_decoded(self._decoder.result())

    def cancel(self) -> None:
        """Do not put the configuration in force, as there is a newer one."""
        self._is_cancelled = True
