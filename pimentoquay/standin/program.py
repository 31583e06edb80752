"""Program ``pimentoquay-standin``, which serves one stand-in over HTTP."""

import sys
from collections.abc import Callable, Sequence

from starlette.applications import Starlette

from pimentoquay.backends.base import EngineRole
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.kernel.logs import configure_logs, logger
from pimentoquay.kernel.programs import (
    EXIT_SETTINGS,
    StopRequested,
    load_settings_or_exit,
    parse_program_arguments,
    run_until_stopped,
)
from pimentoquay.kernel.serving import serve_http
from pimentoquay.services.weight_store_http import HttpWeightStoreClient
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.engine_model import KvSource
from pimentoquay.standin.log import StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.plain_service import StandinPlain
from pimentoquay.standin.serve_engine import HttpKvSource, engine_app
from pimentoquay.standin.serve_plain import plain_app
from pimentoquay.standin.serve_platform import log_app, membership_app, weights_app
from pimentoquay.standin.settings import StandinSettings, parse_members
from pimentoquay.standin.weight_store import StandinWeights

__all__ = ["main"]

PROGRAM = "pimentoquay-standin"
PURPOSE = "Stand in for an engine, the log, the membership list, weights or a plain service."
EXAMPLE = "pimentoquay-standin --config engine.ini"


def main(arguments: Sequence[str] | None = None) -> int:
    """Serve the configured stand-in until a stop signal and return the exit status."""
    options = parse_program_arguments(PROGRAM, PURPOSE, EXAMPLE, arguments)
    settings = load_settings_or_exit(options.config, StandinSettings)
    try:
        parse_members(settings.membership.members)
    except PimentoquayError as error:
        print(f"{options.config}: {error.detail}", file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs(PROGRAM, settings.standin.name, settings.logs.level)

    async def serve(stop: StopRequested) -> None:
        app = _APP_BY_KIND[settings.standin.kind](settings)
        async with serve_http(app, settings.standin.listen):
            logger.info("listening at {}", settings.standin.listen)
            await stop.wait()

    return run_until_stopped(serve)


def _engine(settings: StandinSettings) -> Starlette:
    section = settings.engine
    peer_by_address: dict[str, KvSource] = {}

    def find_peer(address: str) -> KvSource:
        if address not in peer_by_address:
            peer_by_address[address] = HttpKvSource(address)
        return peer_by_address[address]

    weights = HttpWeightStoreClient(section.weight_store) if section.weight_store else None
    role = EngineRole[section.role.upper()]
    name = settings.standin.name
    return engine_app(
        StandinEngine(name, section.model, find_peer, role, section.version, section, weights)
    )


def _membership(settings: StandinSettings) -> Starlette:
    members = parse_members(settings.membership.members)
    return membership_app(StandinMembership(members, settings.membership.lag))


_APP_BY_KIND: dict[str, Callable[[StandinSettings], Starlette]] = {
    "engine": _engine,
    "log": lambda settings: log_app(StandinLog(settings.log)),
    "membership": _membership,
    "weights": lambda settings: weights_app(StandinWeights(settings.weights.rate)),
    "plain": lambda settings: plain_app(StandinPlain(settings.standin.name, settings.plain)),
}


if __name__ == "__main__":
    sys.exit(main())
