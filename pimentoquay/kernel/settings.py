"""Settings with validation, read from INI files.

A program declares a frozen data class for each section, whose fields are made with ``setting``, and
a data class whose fields are the sections. ``load_settings`` reads a file into an instance of it
and reports all faults at once, each with the file, section, key, value and allowed values.

Example
-------
::

    @dataclass(frozen=True)
    class ListenSection:
        port: int = setting(help="TCP port", low=1, high=65535)

    @dataclass(frozen=True)
    class MySettings:
        listen: ListenSection

    settings = load_settings(Path("my.ini"), MySettings)
"""

import configparser
import dataclasses
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError

__all__ = [
    "SettingConflict",
    "SettingFault",
    "SettingInfo",
    "SettingsError",
    "load_settings",
    "parse_ini",
    "parse_settings",
    "read_section",
    "setting",
    "setting_infos",
]

_MISSING = dataclasses.MISSING
_BOOL_BY_TEXT = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}

Settings = TypeVar("Settings")


@dataclass(frozen=True)
class SettingFault:
    """Fault in a settings file."""

    file: str
    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}]"
        if self.key:
            place += f" {self.key} = {self.value!r}"
        return f"{place}: allowed: {self.allowed}"


@dataclass(frozen=True)
class SettingConflict:
    """Value that is not allowed in combination with another setting.

    A settings class may have a method ``conflicts`` that returns its conflicts. It is called only
    if each value is valid by itself.
    """

    section: str
    key: str
    value: str
    allowed: str


class SettingsError(PimentoquayError):
    """Error with all faults of a settings file."""

    def __init__(self, faults: tuple[SettingFault, ...]) -> None:
        super().__init__(ResultCode.SETTING_INVALID, "; ".join(str(fault) for fault in faults))
        self.faults = faults


@dataclass(frozen=True)
class SettingInfo:
    """Definition of a setting, for the generated reference page."""

    section: str
    key: str
    type_name: str
    default: str
    allowed: str
    unit: str
    help: str


def setting(
    *,
    help: str,
    default: Any = _MISSING,
    low: float | None = None,
    high: float | None = None,
    unit: str = "",
    choices: tuple[str, ...] = (),
    secret: bool = False,
) -> Any:
    """Declare a setting as a data class field.

    Parameters
    ----------
    help
        Description for the reference page.
    default
        Default value; if omitted, the setting is required.
    low, high
        Bounds of a number, both inclusive.
    unit
        Unit of a number.
    choices
        Allowed values of a text.
    secret
        Whether the value is hidden in fault messages.
    """
    metadata = {
        "help": help,
        "low": low,
        "high": high,
        "unit": unit,
        "choices": choices,
        "secret": secret,
    }
    if default is _MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def load_settings(path: Path, settings_class: type[Settings]) -> Settings:
    """Read and check a settings file; raise ``SettingsError`` with all its faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            (SettingFault(str(path), "", "", "", f"a readable UTF-8 file ({error})"),)
        ) from None
    return parse_settings(text, settings_class, str(path))


def parse_settings(text: str, settings_class: type[Settings], file: str) -> Settings:
    """Parse and check the text of a settings file.

    Parameters
    ----------
    text
        INI text.
    settings_class
        Data class whose fields are the sections.
    file
        File name for the fault messages.

    Raises
    ------
    SettingsError
        If the text has faults; the error holds all of them.
    """
    parser = parse_ini(text, file)
    faults: list[SettingFault] = []
    section_by_name = _section_classes(settings_class)
    for name in parser.sections():
        if name not in section_by_name:
            allowed = "sections " + ", ".join(sorted(section_by_name))
            faults.append(SettingFault(file, name, "", "", allowed))
    value_by_section = {}
    for name, section_class in section_by_name.items():
        raw_by_key = dict(parser[name]) if parser.has_section(name) else {}
        value_by_section[name] = read_section(file, name, section_class, raw_by_key, faults)
    if faults:
        raise SettingsError(tuple(faults))
    settings = settings_class(**value_by_section)
    conflicts = getattr(settings, "conflicts", tuple)()
    if conflicts:
        raise SettingsError(
            tuple(
                SettingFault(file, item.section, item.key, item.value, item.allowed)
                for item in conflicts
            )
        )
    return settings


def parse_ini(text: str, file: str) -> configparser.ConfigParser:
    """Parse INI text; raise ``SettingsError`` if its syntax is invalid."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        allowed = "INI text (" + str(error).replace("\n", " ") + ")"
        raise SettingsError((SettingFault(file, "", "", "", allowed),)) from None
    return parser


def setting_infos(settings_class: type) -> tuple[SettingInfo, ...]:
    """Return the definitions of all settings in the order of their declaration."""
    infos = []
    for name, section_class in _section_classes(settings_class).items():
        hints = get_type_hints(section_class)
        for item in dataclasses.fields(section_class):
            default = "(required)" if item.default is _MISSING else _format_value(item.default)
            infos.append(
                SettingInfo(
                    name,
                    item.name,
                    hints[item.name].__name__,
                    default,
                    _describe_allowed(hints[item.name], item.metadata),
                    item.metadata.get("unit", ""),
                    item.metadata.get("help", ""),
                )
            )
    return tuple(infos)


def _section_classes(settings_class: type) -> dict[str, type]:
    hints = get_type_hints(settings_class)
    return {item.name: hints[item.name] for item in dataclasses.fields(settings_class)}  # type: ignore[arg-type]


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _describe_allowed(kind: type, metadata: Any) -> str:
    if metadata.get("choices"):
        return "one of " + ", ".join(metadata["choices"])
    if kind is bool:
        return "yes or no"
    text = {int: "a whole number", float: "a number", str: "text"}[kind]
    low, high = metadata.get("low"), metadata.get("high")
    if kind is not str and (low is not None or high is not None):
        text += f" from {low if low is not None else '-'} to {high if high is not None else '-'}"
    if metadata.get("unit"):
        text += f" in {metadata['unit']}"
    return text


def read_section(
    file: str,
    name: str,
    section_class: type,
    raw_by_key: dict[str, str],
    faults: list[SettingFault],
) -> Any:
    """Return a section with its values checked, or ``None`` if it has faults.

    Parameters
    ----------
    file
        File name for the fault messages.
    name
        Name of the section.
    section_class
        Data class of the section.
    raw_by_key
        Text of each value by key.
    faults
        List to which the faults are appended.
    """
    hints = get_type_hints(section_class)
    items = {item.name: item for item in dataclasses.fields(section_class)}  # type: ignore[arg-type]
    count_before = len(faults)
    for key, raw in raw_by_key.items():
        if key not in items:
            faults.append(SettingFault(file, name, key, raw, "keys " + ", ".join(sorted(items))))
    values = {}
    for key, item in items.items():
        allowed = _describe_allowed(hints[key], item.metadata)
        if key not in raw_by_key:
            if item.default is _MISSING:
                faults.append(SettingFault(file, name, key, "", f"{allowed}; it is required"))
            continue
        raw = raw_by_key[key].strip()
        try:
            values[key] = _parse_value(raw, hints[key], item.metadata)
        except ValueError:
            shown = "(hidden)" if item.metadata.get("secret") else raw
            faults.append(SettingFault(file, name, key, shown, allowed))
    return section_class(**values) if len(faults) == count_before else None


def _parse_value(raw: str, kind: type, metadata: Any) -> Any:
    if kind is bool:
        if raw.lower() not in _BOOL_BY_TEXT:
            raise ValueError(raw)
        return _BOOL_BY_TEXT[raw.lower()]
    value = kind(raw)
    if metadata.get("choices") and value not in metadata["choices"]:
        raise ValueError(raw)
    low, high = metadata.get("low"), metadata.get("high")
    if kind is not str:
        if value != value or (low is not None and value < low):
            raise ValueError(raw)
        if high is not None and value > high:
            raise ValueError(raw)
    return value
