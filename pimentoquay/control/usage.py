"""Resource usage of a control process: CPU time, memory and traffic.

The totals are logged periodically, so that an operator can compare them with the budget in
docs/CAPACITY.md.
"""

import dataclasses
import resource
import time
from dataclasses import dataclass

from pimentoquay.kernel import Node, plugin
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.settings import setting
from pimentoquay.kernel.traffic import process_traffic
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["ProcessUsage", "UsagePart", "UsageSection", "process_usage"]

_KIB_PER_MIB = 1024


@dataclass(frozen=True)
class UsageSection:
    """The ``[usage]`` section."""

    period: float = setting(
        default=60.0, low=1.0, high=86400.0, unit="s", help="time between two usage log lines"
    )


@dataclass(frozen=True)
class ProcessUsage:
    """Resource usage since the process started; ``peak_memory`` is in MiB."""

    cpu_seconds: float
    peak_memory: float
    peer_bytes_sent: int
    peer_bytes_received: int
    peer_messages_sent: int
    peer_messages_received: int
    http_bytes_sent: int
    http_bytes_received: int


def process_usage() -> ProcessUsage:
    """Return the resource usage of this process."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KIB_PER_MIB
    return ProcessUsage(time.process_time(), peak, **dataclasses.asdict(process_traffic))


@plugin("control-part", "usage")
class UsagePart:
    """Logs the resource usage of this process periodically.

    Parameters
    ----------
    node
        Kernel of the process, whose timers are used.
    peers, ports
        Not used.
    section
        The ``[usage]`` settings.
    """

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: UsageSection) -> None:
        self._node = node
        self._section = section

    async def run(self) -> None:
        """Log until cancelled."""
        while True:
            await self._node.timers.sleep(self._section.period)
            logger.bind(**dataclasses.asdict(process_usage())).info("usage")
