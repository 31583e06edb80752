"""``pimentoquay-control``: the control process of a VM.

It reads the platform's log and membership list, schedules the shards that its VM owns, gives
orders to engines and answers operators. One runs on each entry VM.
"""

import asyncio
import sys

from pimentoquay.backends.client_factories import engine_client_factory, plain_client_factory
from pimentoquay.control import PART_MODULES, load_parts
from pimentoquay.control.compose import ControlProcess, compose_control
from pimentoquay.control.drain import drain_control
from pimentoquay.control.settings import ControlSettings
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
from pimentoquay.membership.events import DrainRequested
from pimentoquay.services.log_http import HttpLogClient
from pimentoquay.services.membership_http import HttpMembershipClient
from pimentoquay.services.ports import Ports
from pimentoquay.services.weight_store_http import HttpWeightStoreClient
from pimentoquay.transport.websocket import WebSocketTransport

__all__ = ["main"]

PROGRAM = "pimentoquay-control"
EXAMPLE = "pimentoquay-control --config vm-1.ini"


def main() -> int:
    """Run the program and return its exit status."""
    load_parts()
    arguments = parse_program_arguments(PROGRAM, __doc__ or "", EXAMPLE)
    settings = load_settings_or_exit(arguments.config, ControlSettings)
    configure_logs(PROGRAM, settings.vm.name, settings.log.level)
    try:
        return run_until_stopped(lambda stop: _serve(settings, stop))
    except OSError as error:
        location = f"{arguments.config}: [control] listen = {settings.control.listen!r}"
        print(f"{location}: allowed: a free IP:PORT ({error})", file=sys.stderr)
        return EXIT_SETTINGS


async def _serve(settings: ControlSettings, stop: StopRequested) -> None:
    control = _compose(settings)
    drain_requests = control.node.bus.subscribe(DrainRequested)
    running = control.start()
    logger.bind(listen=settings.control.listen, parts=len(PART_MODULES)).info("started")
    stopping = asyncio.create_task(stop.wait())
    leaving = asyncio.create_task(drain_requests.get())
    await asyncio.wait({running, stopping, leaving}, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    leaving.cancel()
    if not running.done():
        await drain_control(control)
    await cancel_task(running)
    logger.info("stopped")


def _compose(settings: ControlSettings) -> ControlProcess:
    clock = LoopClock()
    identity = new_identity(settings.vm, "control", clock)
    transport = WebSocketTransport(identity, settings.cluster.key.encode())
    node = Node(identity, transport, clock)
    if settings.log.timeline:
        node.timeline.set_sink(log_event)
    platform = settings.platform
    ports = Ports(
        engine=engine_client_factory(),
        plain=plain_client_factory(),
        log=HttpLogClient(platform.log),
        membership=HttpMembershipClient(platform.membership),
        weight_store=HttpWeightStoreClient(platform.weight_store),
    )
    return compose_control(node, ports, settings)


if __name__ == "__main__":
    sys.exit(main())
