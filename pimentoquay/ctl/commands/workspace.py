"""``workspace create`` and ``workspace remove``: create a document, or remove a workspace."""

import argparse
from pathlib import Path

from pimentoquay.configuration.templates import find_template
from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.ctl.publishing import add_publish_arguments, publish_change
from pimentoquay.kernel import plugin

__all__ = ["WorkspaceCommand"]


@plugin("ctl-command", "workspace")
class WorkspaceCommand:
    """Make a workspace's document from a template, or remove a workspace.

    ``create`` does not connect to a VM. A parameter value that starts with ``@`` is the name of a
    file to read the value from, so that keys do not appear on the command line.
    """

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("action", choices=("create", "remove"))
        parser.add_argument("name", nargs="?", help="the workspace to remove")
        parser.add_argument("--from", dest="template", help="the template to create from")
        parser.add_argument(
            "--set", action="append", default=[], metavar="KEY=VALUE", help="a parameter"
        )
        parser.add_argument("--output", type=Path, help="file to write; printed when omitted")
        add_publish_arguments(parser)

    async def run(self, context: Context) -> int:
        """Write the document of a new workspace, or publish the removal of a workspace."""
        if context.arguments.action == "create":
            return self._create(context)
        if not context.arguments.name:
            raise CtlError(ExitStatus.INVALID, "workspace remove needs a name")
        async with context.link() as link:
            return await publish_change(context, link, context.arguments.name, None)

    def _create(self, context: Context) -> int:
        arguments = context.arguments
        if not arguments.template:
            raise CtlError(ExitStatus.INVALID, "workspace create needs --from TEMPLATE")
        try:
            template = find_template(arguments.template)
        except LookupError as error:
            raise CtlError(ExitStatus.INVALID, str(error)) from None
        text = template.render(dict(_parse_assignment(item) for item in arguments.set))
        if arguments.output is None:
            context.output.raw(text)
            return ExitStatus.OK
        try:
            arguments.output.write_text(text, encoding="utf-8")
        except OSError as error:
            detail = f"cannot write {arguments.output}: {error}"
            raise CtlError(ExitStatus.REFUSED, detail) from None
        context.output.text(f"wrote {arguments.output}")
        context.output.json({"file": str(arguments.output)})
        return ExitStatus.OK


def _parse_assignment(text: str) -> tuple[str, str]:
    key, separator, value = text.partition("=")
    if not separator:
        raise CtlError(ExitStatus.INVALID, f"--set {text}: expected KEY=VALUE")
    if value.startswith("@"):
        try:
            value = Path(value[1:]).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise CtlError(ExitStatus.INVALID, f"--set {key}: {error}") from None
    return key, value
