"""``completion``: print a shell completion script."""

import argparse

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import ExitStatus
from pimentoquay.kernel import find_plugin, plugin, plugin_names

__all__ = ["CompletionCommand"]

_BASH = """\
_pimentoquay_ctl() {{
    local current=${{COMP_WORDS[COMP_CWORD]}}
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "{commands}" -- "$current"))
        return
    fi
    local words=""
    case ${{COMP_WORDS[1]}} in
{cases}
    esac
    COMPREPLY=($(compgen -W "$words" -- "$current") $(compgen -f -- "$current"))
}}
complete -o filenames -F _pimentoquay_ctl pimentoquay-ctl
"""


@plugin("ctl-command", "completion")
class CompletionCommand:
    """Print a completion script for bash, or for zsh with bashcompinit."""

    is_local = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("shell", nargs="?", choices=("bash", "zsh"), default="bash")

    async def run(self, context: Context) -> int:
        """Print the script, which is loaded with ``source <(pimentoquay-ctl completion)``."""
        names = plugin_names("ctl-command")
        cases = [
            f'        {name}) words="{" ".join(_completion_words(name))}" ;;' for name in names
        ]
        if context.arguments.shell == "zsh":
            context.output.raw("autoload -U +X bashcompinit && bashcompinit\n")
        context.output.raw(_BASH.format(commands=" ".join(names), cases="\n".join(cases)))
        return ExitStatus.OK


def _completion_words(name: str) -> list[str]:
    parser = argparse.ArgumentParser(add_help=False)
    command = find_plugin("ctl-command", name)()
    command.add_arguments(parser)
    words = ["--json"]
    if not command.is_local:
        words += ["--config", "--control", "--key-file"]
    for action in parser._actions:
        words += action.option_strings
        words += [str(choice) for choice in action.choices or ()]
    return words
