"""``steady-burst``: appends configuration changes in the second half of a steady-state run."""

import argparse
import asyncio

from pimentoquay.bench.configuration_cost import make_changes
from pimentoquay.configuration.publish import STREAM
from pimentoquay.kernel import plugin
from pimentoquay.services.log_http import HttpLogClient

__all__ = ["SteadyBurstCommand"]


@plugin("bench-command", "steady-burst")
class SteadyBurstCommand:
    """Append changes to the stand-in log, evenly over the second half of a run."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        parser.add_argument("--log", required=True, help="IP:PORT of the stand-in log")
        parser.add_argument("--changes", type=int, required=True)
        parser.add_argument("--seconds", type=float, required=True, help="length of the whole run")

    def run(self, arguments: argparse.Namespace) -> int:
        """Append the changes and return 0."""
        asyncio.run(_append(arguments.log, arguments.changes, arguments.seconds / 2))
        return 0


async def _append(address: str, changes: int, seconds: float) -> None:
    log = HttpLogClient(address)
    records = make_changes(changes)
    loop = asyncio.get_running_loop()
    started = loop.time() + seconds
    for number, data in enumerate(records):
        await asyncio.sleep(started + seconds * number / changes - loop.time())
        await log.append(STREAM, data)
