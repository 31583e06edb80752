"""Workspace templates: documents with typed, validated parameters.

A template is an INI file. ``[template]`` holds its summary and each ``[parameter:NAME]`` declares a
parameter. The other sections form the document, in which ``${NAME}`` is replaced by a value.
"""

import hashlib
import string
from collections.abc import Mapping
from configparser import ConfigParser
from dataclasses import dataclass
from importlib import resources

from pimentoquay.configuration.documents import NAME_ALLOWED, is_name, parse_document
from pimentoquay.kernel.settings import (
    SettingFault,
    SettingsError,
    parse_ini,
    read_section,
    setting,
)

__all__ = ["Parameter", "Template", "find_template", "parse_template", "templates"]

MIN_KEY_CHARACTERS = 12
TYPES = ("name", "text", "int", "float", "choice", "key")
REQUIRED = "(required)"
"""Default of a parameter that needs a value."""


@dataclass(frozen=True)
class ParameterSection:
    """Keys of a ``[parameter:NAME]`` section."""

    type: str = setting(help="the type of the value", choices=TYPES)
    help: str = setting(help="what the parameter is for")
    default: str = setting(help="the value when none is given", default=REQUIRED)
    choices: str = setting(help="the values of a choice", default="")
    low: float = setting(help="the least number", default=0.0)
    high: float = setting(help="the greatest number", default=1e9)


@dataclass(frozen=True)
class TemplateSection:
    """Keys of the ``[template]`` section."""

    summary: str = setting(help="one line for the list of templates")


@dataclass(frozen=True)
class Parameter:
    """One parameter of a template."""

    name: str
    section: ParameterSection

    @property
    def is_required(self) -> bool:
        """Whether the parameter has no default."""
        return self.section.default == REQUIRED

    @property
    def allowed(self) -> str:
        """Description of the allowed values, shown to operators."""
        kind, section = self.section.type, self.section
        if kind == "choice":
            return "one of " + ", ".join(section.choices.split())
        if kind in ("int", "float"):
            noun = "a whole number" if kind == "int" else "a number"
            return f"{noun} from {section.low:g} to {section.high:g}"
        if kind == "key":
            return f"a bearer key of {MIN_KEY_CHARACTERS} characters or more without spaces"
        return NAME_ALLOWED if kind == "name" else "one line of text"

    def render_value(self, value: str) -> str:
        """Return the text of a value in the document; raise ``ValueError`` if it is invalid."""
        kind, section = self.section.type, self.section
        if kind in ("int", "float"):
            number = int(value) if kind == "int" else float(value)
            if not section.low <= number <= section.high:
                raise ValueError(value)
            return str(number)
        if kind == "choice" and value not in section.choices.split():
            raise ValueError(value)
        if kind == "name" and not is_name(value):
            raise ValueError(value)
        if kind == "key":
            if len(value) < MIN_KEY_CHARACTERS or len(value.split()) != 1:
                raise ValueError(value)
            return hashlib.sha256(value.encode()).hexdigest()
        if "\n" in value or "\r" in value:
            raise ValueError(value)
        return value


@dataclass(frozen=True)
class Template:
    """A valid template; ``body`` is the document with ``${NAME}`` placeholders."""

    name: str
    summary: str
    parameters: tuple[Parameter, ...]
    body: str

    def render(self, value_by_name: Mapping[str, str]) -> str:
        """Return the document for the given values; raise ``SettingsError`` with every fault."""
        faults = []
        parameter_by_name = {parameter.name: parameter for parameter in self.parameters}
        for name in value_by_name:
            if name not in parameter_by_name:
                allowed = "parameters " + ", ".join(parameter_by_name)
                faults.append(self._fault(name, value_by_name[name], allowed))
        rendered_by_name = {}
        for name, parameter in parameter_by_name.items():
            value = value_by_name.get(name, parameter.section.default)
            if value == REQUIRED:
                faults.append(self._fault(name, "", f"{parameter.allowed}; it is required"))
                continue
            try:
                rendered_by_name[name] = parameter.render_value(value)
            except ValueError:
                shown = "(hidden)" if parameter.section.type == "key" else value
                faults.append(self._fault(name, shown, parameter.allowed))
        if faults:
            raise SettingsError(tuple(faults))
        text = string.Template(self.body).substitute(rendered_by_name)
        parse_document(text, f"template {self.name}")
        return text

    def _fault(self, name: str, value: str, allowed: str) -> SettingFault:
        return SettingFault(f"template {self.name}", "parameters", name, value, allowed)


def parse_template(name: str, text: str) -> Template:
    """Parse the text of a template file; raise ``SettingsError`` with every fault found."""
    file = f"template {name}"
    parser = parse_ini(text, file)
    faults: list[SettingFault] = []
    raw_by_key = dict(parser["template"]) if "template" in parser else {}
    head = read_section(file, "template", TemplateSection, raw_by_key, faults)
    parameters = []
    for section in parser.sections():
        if section.startswith("parameter:"):
            raw = dict(parser[section])
            found = read_section(file, section, ParameterSection, raw, faults)
            if found is not None:
                parameters.append(Parameter(section.partition(":")[2], found))
    body = _document_body(parser)
    declared = {parameter.name for parameter in parameters}
    for used in string.Template(body).get_identifiers():
        if used not in declared:
            faults.append(SettingFault(file, "", used, "", "a declared parameter"))
    if faults or head is None:
        raise SettingsError(tuple(faults))
    return Template(name, head.summary, tuple(parameters), body)


def templates() -> tuple[Template, ...]:
    """Return the templates of the package in order of name."""
    directory = resources.files("pimentoquay.configuration") / "templates"
    found = []
    for entry in sorted(directory.iterdir(), key=lambda entry: entry.name):
        name, dot, suffix = entry.name.partition(".")
        if suffix == "ini" and dot:
            found.append(parse_template(name, entry.read_text(encoding="utf-8")))
    return tuple(found)


def find_template(name: str) -> Template:
    """Return a template by name; raise ``LookupError`` if there is none."""
    for template in templates():
        if template.name == name:
            return template
    known = ", ".join(template.name for template in templates())
    raise LookupError(f"no template {name!r}; there are: {known}")


def _document_body(parser: ConfigParser) -> str:
    lines = []
    for section in parser.sections():
        if section != "template" and not section.startswith("parameter:"):
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in parser[section].items()]
            lines.append("")
    return "\n".join(lines)
