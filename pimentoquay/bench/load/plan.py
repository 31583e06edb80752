"""Plan of a load: an INI file with a section ``[load]`` and a section for each stream.

Example
-------
::

    [load]
    entries = 127.0.0.1:7101 127.0.0.1:7102
    engines = 127.0.0.1:7201
    services = 127.0.0.1:7301
    seconds = 15

    [stream diagnosis]
    workspace = print-services
    key = print-key
    model = diag-llm
    kind = diagnosis
    rate = 6

    [stream toner-order]
    workspace = print-services
    key = print-key
    endpoint = service
    path = toner-orders/orders
    once_only = yes
    rate = 2
"""

import configparser
from dataclasses import dataclass
from pathlib import Path

from pimentoquay.kernel.settings import (
    SettingFault,
    SettingsError,
    parse_settings,
    setting,
)

__all__ = ["LoadPlan", "LoadSection", "StreamPlan", "read_plan"]

STREAM_PREFIX = "stream "
"""Start of the name of a stream's section."""


@dataclass(frozen=True)
class LoadSection:
    """Settings that apply to all streams of a load."""

    entries: str = setting(help="IP:PORT of each entry, with spaces between")
    engines: str = setting(default="", help="IP:PORT of each stand-in engine that is observed")
    services: str = setting(default="", help="IP:PORT of each stand-in service that is observed")
    seconds: float = setting(default=15.0, low=0.1, high=86400, unit="s", help="how long to send")
    settle_seconds: float = setting(
        default=4.0, low=0.0, high=600, unit="s", help="wait before held memory is checked"
    )
    seed: int = setting(default=1, low=0, help="seed of arrivals, sizes and cancellations")
    tries: int = setting(
        default=4, low=1, high=100, help="attempts of one request, each through another entry"
    )


@dataclass(frozen=True)
class StreamPlan:
    """A stream of similar requests of one workspace."""

    name: str = setting(help="the stream's name")
    workspace: str = setting(help="the workspace's name")
    key: str = setting(help="the workspace's bearer key", secret=True)
    endpoint: str = setting(
        default="completions", choices=("completions", "chat", "service"), help="what is called"
    )
    model: str = setting(default="", help="the model, for completions and chat")
    kind: str = setting(default="", help="the kind of request")
    path: str = setting(default="", help="SERVICE/PATH, for a plain service")
    once_only: bool = setting(default=False, help="the calls may run at most once")
    keyed: bool = setting(default=True, help="send an Idempotency-Key with calls that run once")
    streaming: bool = setting(default=True, help="request server-sent events")
    rate: float = setting(default=1.0, low=0.001, high=10000, unit="requests/s", help="mean rate")
    prompt_tokens_low: int = setting(default=20, low=1, high=1000000, help="shortest prompt")
    prompt_tokens_high: int = setting(default=200, low=1, high=1000000, help="longest prompt")
    shared_tokens: int = setting(default=0, low=0, high=1000000, help="prefix that prompts share")
    max_tokens: int = setting(default=40, low=1, high=100000, help="longest answer")
    cancel_share: float = setting(
        default=0.0, low=0.0, high=1.0, help="share of requests whose caller leaves early"
    )
    first_token_target: float = setting(
        default=1.1, low=0.001, high=600, unit="s", help="target of the time to first token"
    )
    token_interval_target: float = setting(
        default=0.055, low=0.0001, high=60, unit="s", help="target of the time per token"
    )

    @property
    def row(self) -> str:
        """Name of the row of the results table in which the stream's requests are counted."""
        return f"{self.workspace}/{self.kind or self.name}"


@dataclass(frozen=True)
class LoadPlan:
    """Settings of a load and of its streams."""

    load: LoadSection
    streams: tuple[StreamPlan, ...]

    @property
    def entries(self) -> tuple[str, ...]:
        """Addresses of the entries."""
        return tuple(self.load.entries.split())


@dataclass(frozen=True)
class _LoadFile:
    load: LoadSection


@dataclass(frozen=True)
class _StreamFile:
    stream: StreamPlan


def read_plan(path: Path) -> LoadPlan:
    """Read and validate a plan; raise ``SettingsError`` with all faults if it is invalid."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        fault = SettingFault(str(path), "", "", "", f"a readable INI file ({error})")
        raise SettingsError((fault,)) from None
    names = [name for name in parser.sections() if name.startswith(STREAM_PREFIX)]
    other_names = [name for name in parser.sections() if name not in names]
    load = parse_settings(
        _rename_sections(parser, {name: name for name in other_names}), _LoadFile, str(path)
    ).load
    streams = []
    for name in names:
        parser[name].setdefault("name", name[len(STREAM_PREFIX) :].strip())
        text = _rename_sections(parser, {name: "stream"})
        streams.append(parse_settings(text, _StreamFile, f"{path} [{name}]").stream)
    if not streams:
        allowed = f"at least one section [{STREAM_PREFIX}NAME]"
        raise SettingsError((SettingFault(str(path), "", "", "", allowed),))
    return LoadPlan(load, tuple(streams))


def _rename_sections(parser: configparser.ConfigParser, new_name_by_section: dict[str, str]) -> str:
    """Return the text of some sections under new names."""
    lines = []
    for section, new_name in new_name_by_section.items():
        lines.append(f"[{new_name}]")
        lines += [f"{key} = {value}" for key, value in parser[section].items()]
    return "\n".join(lines)
