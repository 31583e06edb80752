"""Interface of the subcommands and the context in which they run."""

import argparse
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from pimentoquay.ctl.connection import ControlLink, open_link, websocket_transport
from pimentoquay.ctl.output import Output
from pimentoquay.ctl.settings import Target, target_from_arguments
from pimentoquay.kernel import Clock, LoopClock, Transport

__all__ = ["Command", "Context"]


@dataclass(frozen=True)
class Context:
    """Context of a run of a command.

    Parameters
    ----------
    arguments
        Parsed command-line arguments.
    output
        Output that the command prints to.
    make_transport
        Function that creates the transport to the control process.
    clock
        Clock for the current time.
    """

    arguments: argparse.Namespace
    output: Output
    make_transport: Callable[[Target], Transport] = websocket_transport
    clock: Clock = field(default_factory=LoopClock)

    @asynccontextmanager
    async def link(self) -> AsyncIterator[ControlLink]:
        """Connect to the control process while the ``async with`` block runs."""
        link = await open_link(target_from_arguments(self.arguments), self.make_transport)
        try:
            yield link
        finally:
            await link.close()


class Command(Protocol):
    """Subcommand; the first line of the docstring of its class is its help text.

    A command with ``is_local`` does not connect to a control process and has no ``--config``
    option.
    """

    is_local: bool

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""

    async def run(self, context: Context) -> int:
        """Run the command and return the exit status."""
