"""Publishes a configuration change through a VM and waits until it is in force."""

import argparse
import asyncio
import getpass
import uuid
from collections import defaultdict

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.connection import ControlLink
from pimentoquay.ctl.outcomes import CtlError, ExitStatus, exit_status_of
from pimentoquay.kernel import ResultCode, info_of
from pimentoquay.messages.operator import PublishAnswer, PublishRequest, StatusAnswer
from pimentoquay.messages.workspaces import ConfigurationRecord, Workspace

__all__ = ["add_publish_arguments", "publish_change"]

PUBLISH_TIMEOUT_SECONDS = 20.0
"""Timeout for the outcome of a publish request, in seconds."""

IN_FORCE_TIMEOUT_SECONDS = 15.0
"""Default timeout until a published change is in force on all VMs, in seconds."""

POLL_INTERVAL_SECONDS = 0.5
"""Interval of the status requests while waiting for a change to be in force, in seconds."""


def add_publish_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options that are common to all commands that publish a change."""
    parser.add_argument(
        "--base", type=int, help="the version the change was made from; default: the one in force"
    )
    parser.add_argument(
        "--change-id",
        help="id of the change; give the same id to retry a change whose outcome was unknown",
    )
    parser.add_argument("--author", default=_current_user(), help="author of the change")
    parser.add_argument("--no-wait", action="store_true", help="do not wait until in force")
    parser.add_argument(
        "--timeout",
        type=float,
        default=IN_FORCE_TIMEOUT_SECONDS,
        help="seconds to wait until in force",
    )


async def publish_change(
    context: Context, link: ControlLink, name: str, workspace: Workspace | None
) -> int:
    """Publish a change of a workspace and return the exit status.

    Parameters
    ----------
    context
        Context of the command, with the options of ``add_publish_arguments``.
    link
        Connection to the control process.
    name
        Name of the workspace.
    workspace
        New content, or ``None`` to remove the workspace.
    """
    arguments = context.arguments
    base = arguments.base
    if base is None:
        record = await link.find_record(name)
        base = record.version if record is not None else 0
    change_id = arguments.change_id or uuid.uuid4().hex
    change = ConfigurationRecord(change_id, name, base, 0, workspace, arguments.author)
    answer = await _send_change(link, change)
    _print_outcome(context, name, base, answer)
    if answer.code is not ResultCode.CONFIG_ACCEPTED or arguments.no_wait:
        context.output.json(answer)
        return exit_status_of(answer.code)
    is_in_force = await _wait_in_force(context, link, answer.version)
    context.output.json({"outcome": answer, "in_force_everywhere": is_in_force})
    return ExitStatus.OK if is_in_force else ExitStatus.NOT_IN_FORCE


async def _send_change(link: ControlLink, change: ConfigurationRecord) -> PublishAnswer:
    try:
        return await link.call(PublishRequest(change), PublishAnswer, PUBLISH_TIMEOUT_SECONDS)
    except CtlError as error:
        # The request was sent, so the change may have been published.
        detail = f"{error}; ask again with --change-id {change.change_id}"
        return PublishAnswer(change.change_id, ResultCode.CONFIG_UNKNOWN, 0, detail)


def _print_outcome(context: Context, name: str, base: int, answer: PublishAnswer) -> None:
    info = info_of(answer.code)
    if answer.code is ResultCode.CONFIG_ACCEPTED:
        context.output.text(f"accepted: {name} is now version {answer.version} (was {base})")
        return
    text = f"{int(answer.code)} {info.text}"
    if answer.detail:
        text += f": {answer.detail}"
    context.output.error(f"{text}\n    {info.hint}")
    if answer.code is ResultCode.CONFIG_UNKNOWN:
        context.output.error(f"    change id {answer.change_id}")


async def _wait_in_force(context: Context, link: ControlLink, version: int) -> bool:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + context.arguments.timeout
    last_line = ""
    while True:
        answer = await link.status()
        line, is_everywhere = _format_progress(answer, version)
        if line != last_line:
            context.output.progress(line)
            last_line = line
        if is_everywhere or loop.time() >= deadline:
            return is_everywhere
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _format_progress(answer: StatusAnswer, version: int) -> tuple[str, bool]:
    flags_by_data_centre: dict[str, list[bool]] = defaultdict(list)
    for status in answer.vms:
        is_up_to_date = status.configuration_offset >= version
        flags_by_data_centre[status.data_centre].append(is_up_to_date)
    parts = [
        f"{data_centre} {sum(flags)}/{len(flags)}"
        for data_centre, flags in sorted(flags_by_data_centre.items())
    ]
    if answer.silent:
        parts.append(f"no answer from {', '.join(answer.silent)}")
    is_everywhere = all(all(flags) for flags in flags_by_data_centre.values()) and not answer.silent
    return "in force: " + ", ".join(parts), is_everywhere


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"
