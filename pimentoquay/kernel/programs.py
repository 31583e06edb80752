"""Common code of the programs: arguments, settings, signals and exit status.

The first SIGTERM or SIGINT makes the program drain; the second one ends it immediately, unless the
program says that it goes on with its drain.
"""

import argparse
import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Collection, Sequence
from pathlib import Path
from typing import TypeVar

from pimentoquay import __version__
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.settings import SettingsError, load_settings

__all__ = [
    "EXIT_KILLED",
    "EXIT_OK",
    "EXIT_SETTINGS",
    "STOP_SIGNALS",
    "StopRequested",
    "cancel_task",
    "load_settings_or_exit",
    "parse_program_arguments",
    "run_until_stopped",
]

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_KILLED = 130
"""Exit status after a second signal."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that stop a program."""

Settings = TypeVar("Settings")


STOP_SECONDS = 5.0
"""Time in seconds for a cancelled task to end; after that the program exits without it."""


class StopRequested(asyncio.Event):
    """Event that the first SIGTERM or SIGINT sets."""


def parse_program_arguments(
    program: str, purpose: str, example: str, arguments: Sequence[str] | None = None
) -> argparse.Namespace:
    """Parse the ``--config``, ``--version`` and ``--help`` options of a daemon.

    Parameters
    ----------
    program
        Name of the program.
    purpose
        Description shown by ``--help``.
    example
        Example of a command line shown by ``--help``.
    arguments
        Command-line arguments; those of the process if omitted.
    """
    parser = argparse.ArgumentParser(
        program,
        description=purpose,
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--config", required=True, type=Path, help="settings file (INI)")
    parser.add_argument("--version", action="version", version=f"{program} {__version__}")
    return parser.parse_args(arguments)


def load_settings_or_exit(path: Path, settings_class: type[Settings]) -> Settings:
    """Load settings; if they have faults, print them all and exit with status 2."""
    try:
        return load_settings(path, settings_class)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from None


def run_until_stopped(
    main: Callable[[StopRequested], Awaitable[None]],
    ending_signals: Collection[signal.Signals] = STOP_SIGNALS,
) -> int:
    """Run ``main`` and return the exit status; ``main`` must return once it has drained.

    Parameters
    ----------
    main
        Runs the program until its argument is set, and drains then.
    ending_signals
        Signals that end the program immediately if it is draining; others change nothing then.
    """
    return asyncio.run(_run(main, ending_signals))


async def cancel_task(task: "asyncio.Task[None]") -> None:
    """Cancel a task and wait at most ``STOP_SECONDS`` for it to end.

    A task that is still running then is cancelled again when the event loop closes. If the task
    ended with an error, the error is raised.
    """
    task.cancel()
    await asyncio.wait({task}, timeout=STOP_SECONDS)
    if not task.done():
        logger.warning("a cancelled task does not end; exiting without it")
    elif not task.cancelled() and task.exception() is not None:
        raise task.exception()  # type: ignore[misc]


async def _run(
    main: Callable[[StopRequested], Awaitable[None]], ending_signals: Collection[signal.Signals]
) -> int:
    stop = StopRequested()
    task = asyncio.ensure_future(main(stop))

    def on_signal(number: signal.Signals) -> None:
        if not stop.is_set():
            stop.set()
        elif number in ending_signals:
            logger.warning("received a second signal; exiting immediately")
            task.cancel()
        else:
            logger.bind(signal=number.name).info("received another signal while draining")

    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, on_signal, number)
    try:
        await task
    except asyncio.CancelledError:
        return EXIT_KILLED
    return EXIT_OK
