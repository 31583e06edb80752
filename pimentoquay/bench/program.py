"""The program ``pimentoquay-bench``, with a subcommand for each plug-in of kind ``bench-command``.

A command is a class with ``add_arguments(parser)`` and ``run(arguments) -> int`` that is registered
under its name by ``@plugin("bench-command", name)`` in a module that is listed here.
"""

import argparse
import importlib
from collections.abc import Sequence
from typing import Protocol

import pimentoquay
from pimentoquay.kernel import find_plugin, plugin_names

__all__ = ["BenchCommand", "main"]

_COMMAND_MODULES: tuple[str, ...] = (
    "pimentoquay.bench.configuration_cost",
    "pimentoquay.bench.capacity.command",
    "pimentoquay.bench.compare.command",
    "pimentoquay.bench.demo.command",
    "pimentoquay.bench.faults.command",
    "pimentoquay.bench.load.command",
    "pimentoquay.bench.mutations.command",
    "pimentoquay.bench.slopes.command",
    "pimentoquay.bench.steady.burst",
    "pimentoquay.bench.steady.command",
)
"""Modules that register commands when they are imported."""

_EPILOG = """examples:
  pimentoquay-bench --help
  pimentoquay-bench COMMAND --help
"""


class BenchCommand(Protocol):
    """A subcommand; the first line of its docstring is its help text."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command to its parser."""

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the command and return the exit status."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command named in the arguments and return its exit status."""
    for module in _COMMAND_MODULES:
        importlib.import_module(module)
    parser = argparse.ArgumentParser(
        prog="pimentoquay-bench",
        description="Measure and check pimentoquay.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {pimentoquay.__version__}"
    )
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    command_by_name: dict[str, BenchCommand] = {}
    for name in plugin_names("bench-command"):
        command = find_plugin("bench-command", name)()
        summary = (type(command).__doc__ or name).strip().splitlines()[0]
        command.add_arguments(subparsers.add_parser(name, help=summary, description=summary))
        command_by_name[name] = command
    arguments = parser.parse_args(argv)
    return command_by_name[arguments.command].run(arguments)


if __name__ == "__main__":
    raise SystemExit(main())
