"""Forward callers' HTTP requests to engines; one gateway runs on each entry VM.

The settings file, which the platform writes, holds the addresses to listen on and the address of
the store. The environment variable PIMENTOQUAY_CONFIG holds the path of that file.
"""

import argparse
import asyncio
import signal
import sys
import time

from pimentoquay import __version__
from pimentoquay.gateway.compose import compose_gateway
from pimentoquay.gateway.memory_watch import configure_allocator
from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.kernel.log_stream import LogStream
from pimentoquay.kernel.logs import configure_logs, logger
from pimentoquay.kernel.programs import EXIT_SETTINGS, StopRequested, run_until_stopped
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.settings import DeploymentSettings, load_deployment_settings
from pimentoquay.policy.process_limits import process_limits
from pimentoquay.policy.turn_order import LeastServedFirst
from pimentoquay.transport.websocket import WebSocketTransport

__all__ = ["main"]

PROGRAM = "pimentoquay-gateway"


def main() -> int:
    """Run the program and return its exit status."""
    parser = argparse.ArgumentParser(PROGRAM, description=__doc__)
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    parser.add_argument("--level", default="INFO", help="minimum level of log messages")
    parser.add_argument(
        "--metrics-port", type=int, help="port on which metrics are served (default: no metrics)"
    )
    arguments = parser.parse_args()
    try:
        settings = load_deployment_settings()
    except DecodeError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    configure_allocator()
    configure_logs(PROGRAM, settings.vm, arguments.level, LogStream(sys.stdout.fileno()))
    # The grace time bounds the drain, and the platform may ask for the same stop more than once.
    return run_until_stopped(
        lambda stop: _serve(settings, stop, arguments.metrics_port), (signal.SIGINT,)
    )


async def _serve(
    settings: DeploymentSettings, stop: StopRequested, metrics_port: int | None
) -> None:
    incarnation = int(time.time() * 1000)
    identity = Identity(settings.vm, "gateway", settings.region, settings.data_centre, incarnation)
    turns = TurnQueue(LeastServedFirst(time.monotonic))
    limits = process_limits(settings.memory_bytes, settings.max_descriptors)
    transport = WebSocketTransport(identity, settings.shared_key, turns, limits.channel_bytes)
    node = Node(identity, transport, LoopClock())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _check_settings)
    gateway = compose_gateway(settings, node, metrics_port, turns=turns)
    logger.bind(callers=settings.callers_address, incarnation=incarnation).info("started")
    await gateway.run(stop)
    logger.info("stopped")


def _check_settings() -> None:
    """Validate a changed settings file on SIGHUP; its values take effect at the next start."""
    try:
        settings = load_deployment_settings()
    except DecodeError as error:
        logger.bind(error=str(error)).warning("changed settings file is invalid")
    else:
        logger.bind(store=settings.store_address).info("settings read again")
