"""``template list`` and ``template show NAME``: show the workspace templates."""

import argparse

from pimentoquay.configuration.templates import REQUIRED, find_template, templates
from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.kernel import plugin

__all__ = ["TemplateCommand"]


@plugin("ctl-command", "template")
class TemplateCommand:
    """List the workspace templates, or show the parameters of one."""

    is_local = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("action", choices=("list", "show"))
        parser.add_argument("name", nargs="?", help="the template to show")

    async def run(self, context: Context) -> int:
        """Print the list of templates, or the parameters of one."""
        arguments, output = context.arguments, context.output
        if arguments.action == "list":
            found = templates()
            rows = [(template.name, template.summary) for template in found]
            output.table(("TEMPLATE", "SUMMARY"), rows)
            output.json([{"name": name, "summary": summary} for name, summary in rows])
            return ExitStatus.OK
        if not arguments.name:
            raise CtlError(ExitStatus.INVALID, "template show needs the name of a template")
        return self._show(context)

    def _show(self, context: Context) -> int:
        try:
            template = find_template(context.arguments.name)
        except LookupError as error:
            raise CtlError(ExitStatus.INVALID, str(error)) from None
        output = context.output
        output.text(f"{template.name}: {template.summary}\n")
        rows = [
            (item.name, item.section.default or "''", item.allowed, item.section.help)
            for item in template.parameters
        ]
        output.table(("PARAMETER", "DEFAULT", "ALLOWED", "MEANING"), rows)
        output.json(
            [
                {
                    "name": item.name,
                    "type": item.section.type,
                    "default": None if item.section.default == REQUIRED else item.section.default,
                    "allowed": item.allowed,
                    "help": item.section.help,
                }
                for item in template.parameters
            ]
        )
        return ExitStatus.OK
