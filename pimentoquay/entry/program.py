"""``pimentoquay-entry``: the entry process of a VM, which serves callers over HTTP.

It serves OpenAI-style requests and calls of plain services. On SIGTERM, or when its VM leaves the
cluster, it finishes all requests in progress and exits. A second SIGTERM ends it at once.
"""

import asyncio
import importlib
import sys

from pimentoquay.backends.client_factories import engine_client_factory, plain_client_factory
from pimentoquay.entry.compose import EntryProcess, compose_entry
from pimentoquay.entry.connections import bind
from pimentoquay.entry.ports import EntryPorts
from pimentoquay.entry.settings import EntrySettings
from pimentoquay.kernel import LoopClock, Node
from pimentoquay.kernel.logs import configure_logs, log_event, logger
from pimentoquay.kernel.programs import (
    EXIT_SETTINGS,
    StopRequested,
    cancel_task,
    load_settings_or_exit,
    parse_program_arguments,
    run_until_stopped,
)
from pimentoquay.kernel.sections import new_identity
from pimentoquay.transport.websocket import WebSocketTransport

__all__ = ["main"]

PROGRAM = "pimentoquay-entry"
EXAMPLE = "pimentoquay-entry --config vm-1-entry.ini"

CLIENT_MODULES = ("pimentoquay.backends.engine_http", "pimentoquay.backends.plain_http")
"""Modules that register clients of backend servers when they are imported."""


def main() -> int:
    """Run the program and return its exit status."""
    arguments = parse_program_arguments(PROGRAM, __doc__ or "", EXAMPLE)
    settings = load_settings_or_exit(arguments.config, EntrySettings)
    configure_logs(PROGRAM, settings.vm.name, settings.log.level)
    for name in CLIENT_MODULES:
        importlib.import_module(name)
    try:
        listener = bind(settings.http.listen)
    except (OSError, ValueError) as error:
        shown = f"{arguments.config}: [http] listen = {settings.http.listen!r}"
        print(f"{shown}: allowed: a free IP:PORT ({error})", file=sys.stderr)
        return EXIT_SETTINGS
    with listener:
        return run_until_stopped(lambda stop: _serve(settings, listener, stop))


async def _serve(settings: EntrySettings, listener, stop: StopRequested) -> None:
    entry = _compose(settings)
    running = asyncio.create_task(entry.run(listener))
    stopping = asyncio.create_task(stop.wait())
    leaving = asyncio.create_task(entry.wait_for_drain_request())
    logger.bind(listen=settings.http.listen).info("started")
    try:
        await asyncio.wait({running, stopping, leaving}, return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            await entry.drain()
        await running
    finally:
        stopping.cancel()
        leaving.cancel()
        await cancel_task(running)
    logger.info("stopped")


def _compose(settings: EntrySettings) -> EntryProcess:
    clock = LoopClock()
    identity = new_identity(settings.vm, "entry", clock)
    transport = WebSocketTransport(identity, settings.cluster.key.encode())
    node = Node(identity, transport, clock)
    if settings.log.timeline:
        node.timeline.set_sink(log_event)
    ports = EntryPorts(
        engine=engine_client_factory(),
        plain=plain_client_factory(),
    )
    return compose_entry(node, ports, settings.control.address, settings.http)


if __name__ == "__main__":
    sys.exit(main())
