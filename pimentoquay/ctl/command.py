"""What a subcommand is, and what it is given to run with."""

import argparse
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from pimentoquay.ctl.connection import ControlLink, open_link, websocket_transport
from pimentoquay.ctl.output import Output
from pimentoquay.ctl.settings import Target, target_of
from pimentoquay.kernel import Clock, LoopClock, Transport

__all__ = ["Command", "Context"]


@dataclass(frozen=True)
class Context:
    """The arguments of one run, where it prints, and how it connects."""

    arguments: argparse.Namespace
    output: Output
    make_transport: Callable[[Target], Transport] = websocket_transport
    clock: Clock = field(default_factory=LoopClock)

    @asynccontextmanager
    async def link(self) -> AsyncIterator[ControlLink]:
        """Connect for the length of a block."""
        link = await open_link(target_of(self.arguments), self.make_transport)
        try:
            yield link
        finally:
            await link.close()


class Command(Protocol):
    """One subcommand; the first line of its doc comment is its help.

    ``is_local`` commands connect to nothing and have no ``--config``.
    """

    is_local: bool

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""

    async def run(self, context: Context) -> int:
        """Run and return the exit status."""
