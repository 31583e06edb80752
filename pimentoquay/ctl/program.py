"""``pimentoquay-ctl``: the command-line tool for operators.

Each subcommand is a plug-in of kind ``ctl-command`` in a module of ``pimentoquay.ctl.commands``.
"""

import argparse
import asyncio
import sys
from collections.abc import Callable, Sequence
from importlib import import_module

import pimentoquay
from pimentoquay.ctl.command import Command, Context
from pimentoquay.ctl.connection import websocket_transport
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.ctl.output import Output
from pimentoquay.ctl.settings import Target, add_target_arguments
from pimentoquay.kernel import Transport, find_plugin, plugin_names
from pimentoquay.kernel.settings import SettingsError

__all__ = ["COMMAND_MODULES", "commands", "main", "make_parser", "run_command"]

COMMAND_MODULES = (
    "check",
    "completion",
    "diff",
    "drain",
    "explain",
    "get",
    "history",
    "publish",
    "recover",
    "rollback",
    "status",
    "template",
    "timeline",
    "workspace",
)
"""Modules of ``pimentoquay.ctl.commands`` that register a command when they are imported."""

EPILOG = """examples:
  pimentoquay-ctl template list
  pimentoquay-ctl workspace create --from print-office --set name=rates-hall \\
      --set key=@rates-hall.key --output rates-hall.ini
  pimentoquay-ctl check rates-hall.ini
  pimentoquay-ctl publish rates-hall.ini --config ctl.ini
  pimentoquay-ctl status --config ctl.ini

exit status: 0 done, 1 refused, 2 invalid, 3 conflict, 4 outcome unknown, 5 VM out of reach,
6 accepted but not yet in force everywhere
"""


def commands() -> dict[str, Command]:
    """Return all commands by name."""
    for module in COMMAND_MODULES:
        import_module(f"pimentoquay.ctl.commands.{module}")
    return {name: find_plugin("ctl-command", name)() for name in plugin_names("ctl-command")}


def make_parser(command_by_name: dict[str, Command]) -> argparse.ArgumentParser:
    """Return the command-line parser with a subparser for each command."""
    parser = argparse.ArgumentParser(
        prog="pimentoquay-ctl",
        description="Publish configuration and see what the system does.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = f"%(prog)s {pimentoquay.__version__}"
    parser.add_argument("--version", action="version", version=version)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, command in command_by_name.items():
        summary = (type(command).__doc__ or name).strip().splitlines()[0]
        subparser = subparsers.add_parser(name, help=summary, description=summary)
        subparser.add_argument("--json", action="store_true", help="print JSON for programs")
        if not command.is_local:
            add_target_arguments(subparser)
        command.add_arguments(subparser)
    return parser


async def run_command(
    argv: Sequence[str],
    make_transport: Callable[[Target], Transport] = websocket_transport,
    output: Output | None = None,
) -> int:
    """Run a command and return its exit status.

    Parameters
    ----------
    argv
        Command-line arguments without the program name.
    make_transport
        Function that creates the transport to the control process.
    output
        Output of the command; by default standard output and standard error.
    """
    command_by_name = commands()
    arguments = make_parser(command_by_name).parse_args(argv)
    if output is None:
        output = Output(as_json=arguments.json)
    output.as_json = arguments.json
    try:
        return await command_by_name[arguments.command].run(
            Context(arguments, output, make_transport)
        )
    except SettingsError as error:
        for fault in error.faults:
            output.error(str(fault))
        output.json({"faults": list(error.faults)})
        return ExitStatus.INVALID
    except CtlError as error:
        output.error(str(error))
        return error.status


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit status."""
    try:
        return asyncio.run(run_command(sys.argv[1:] if argv is None else argv))
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        return ExitStatus.REFUSED


if __name__ == "__main__":
    sys.exit(main())
