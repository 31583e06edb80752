"""Parsing, validation and formatting of workspace documents, the INI files of operators.

Example
-------
::

    [workspace]
    name = rates-hall
    key_hashes = 5f4d...
    max_concurrent = 40

    [model:diag-llm]
    version = v1

    [kind:diagnosis]
    model = diag-llm
    urgency = patient
    first_token_target = 1.1
    token_interval_target = 0.055
    max_prompt_tokens = 32000
    max_tokens = 400

    [service:fleet-desk]
    once_only = /toner-orders
    timeout = 5
"""

import re
from configparser import ConfigParser
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pimentoquay.kernel.settings import (
    SettingFault,
    SettingsError,
    parse_ini,
    read_section,
    setting,
)
from pimentoquay.messages.placement import Urgency
from pimentoquay.messages.workspaces import KindSpec, ModelSpec, ServiceSpec, Workspace

__all__ = [
    "DOCUMENT_SECTIONS",
    "NAME_ALLOWED",
    "format_document",
    "is_name",
    "load_document",
    "parse_document",
]

NAME_ALLOWED = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
HASH_ALLOWED = "SHA-256 hashes, 64 hexadecimal digits each, with spaces between"
PATH_ALLOWED = "paths that start with '/', with spaces between"

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_HASH = re.compile(r"[0-9a-f]{64}")
_URGENCIES = tuple(urgency.name.lower() for urgency in Urgency)


@dataclass(frozen=True)
class WorkspaceSection:
    """Keys of the ``[workspace]`` section."""

    name: str = setting(help="the workspace's name")
    key_hashes: str = setting(help="SHA-256 of each bearer key that opens the workspace")
    template: str = setting(help="the template it was made from", default="")
    max_concurrent: int = setting(help="requests at once", default=64, low=1, high=100000)
    weight: int = setting(
        help="its share against other workspaces in the queue", default=1, low=1, high=1000
    )


@dataclass(frozen=True)
class ModelSection:
    """Keys of a ``[model:NAME]`` section: one model that the workspace may use."""

    version: str = setting(help="the version of the model's weights")
    adapter: str = setting(help="the adapter, or nothing", default="")


@dataclass(frozen=True)
class KindSection:
    """Keys of a ``[kind:NAME]`` section: one kind of request."""

    model: str = setting(help="one of the document's models")
    urgency: str = setting(help="how urgent the kind is", default="normal", choices=_URGENCIES)
    first_token_target: float = setting(
        help="latest first token", default=1.1, low=0.01, high=3600.0, unit="s"
    )
    token_interval_target: float = setting(
        help="longest time between tokens", default=0.055, low=0.001, high=60.0, unit="s"
    )
    max_prompt_tokens: int = setting(
        help="longest prompt", default=32000, low=1, high=1000000, unit="tokens"
    )
    max_tokens: int = setting(
        help="longest answer", default=1024, low=1, high=100000, unit="tokens"
    )
    idempotent: bool = setting(
        help="whether a request may be run again after a failure", default=True
    )


@dataclass(frozen=True)
class ServiceSection:
    """Keys of a ``[service:NAME]`` section: one plain service that the workspace may call."""

    once_only: str = setting(help="paths whose calls are not idempotent", default="")
    timeout: float = setting(
        help="longest wait for an answer", default=10.0, low=0.01, high=600.0, unit="s"
    )


DOCUMENT_SECTIONS: dict[str, type] = {
    "workspace": WorkspaceSection,
    "model": ModelSection,
    "kind": KindSection,
    "service": ServiceSection,
}
"""Settings class of each section type; all but ``workspace`` have a name, as in ``[kind:NAME]``."""


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a workspace, model, kind or service."""
    return _NAME.fullmatch(text) is not None


def load_document(path: Path) -> Workspace:
    """Read a document from a file; raise ``SettingsError`` with every fault found."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        allowed = f"a readable UTF-8 file ({error})"
        raise SettingsError((SettingFault(str(path), "", "", "", allowed),)) from None
    return parse_document(text, str(path))


def parse_document(text: str, file: str) -> Workspace:
    """Parse the text of a document; raise ``SettingsError`` with every fault found.

    ``file`` is the file name that faults mention.
    """
    reader = _Reader(file, parse_ini(text, file))
    workspace = reader.workspace()
    if reader.faults or workspace is None:
        raise SettingsError(tuple(reader.faults))
    return workspace


def format_document(workspace: Workspace) -> str:
    """Return the document text of a workspace; ``parse_document`` restores an equal workspace."""
    lines = [
        "[workspace]",
        f"name = {workspace.name}",
        f"template = {workspace.template}",
        f"key_hashes = {' '.join(workspace.key_hashes)}",
        f"max_concurrent = {workspace.max_concurrent}",
        f"weight = {workspace.weight}",
    ]
    for model in workspace.models:
        lines += ["", f"[model:{model.name}]", f"version = {model.version}"]
        lines += [f"adapter = {model.adapter}"]
    for kind in workspace.kinds:
        lines += [
            "",
            f"[kind:{kind.name}]",
            f"model = {kind.model}",
            f"urgency = {kind.urgency.name.lower()}",
            f"first_token_target = {kind.first_token_target!r}",
            f"token_interval_target = {kind.token_interval_target!r}",
            f"max_prompt_tokens = {kind.max_prompt_tokens}",
            f"max_tokens = {kind.max_tokens}",
            f"idempotent = {'yes' if kind.idempotent else 'no'}",
        ]
    for service in workspace.services:
        lines += ["", f"[service:{service.name}]"]
        lines += [f"once_only = {' '.join(service.once_only)}", f"timeout = {service.timeout!r}"]
    return "\n".join(lines) + "\n"


class _Reader:
    """Parses one document and collects its faults."""

    def __init__(self, file: str, parser: ConfigParser) -> None:
        self.faults: list[SettingFault] = []
        self._file = file
        self._parser = parser

    def workspace(self) -> Workspace | None:
        self._check_sections()
        raw_by_key = dict(self._parser["workspace"]) if "workspace" in self._parser else {}
        head = read_section(self._file, "workspace", WorkspaceSection, raw_by_key, self.faults)
        models = self._read_named_sections("model", ModelSection)
        kinds = self._read_named_sections("kind", KindSection)
        services = self._read_named_sections("service", ServiceSection)
        # These checks use the raw values, so that one fault of a section does not hide another.
        self._check_workspace(raw_by_key)
        self._check_models()
        self._check_paths()
        if head is None or self.faults:
            return None
        return Workspace(
            head.name,
            head.template,
            tuple(head.key_hashes.split()),
            tuple(ModelSpec(name, item.version, item.adapter) for name, item in models),
            tuple(_kind_spec(name, item) for name, item in kinds),
            tuple(
                ServiceSpec(name, tuple(item.once_only.split()), item.timeout)
                for name, item in services
            ),
            head.max_concurrent,
            head.weight,
        )

    def _check_sections(self) -> None:
        for section in self._parser.sections():
            kind, _, name = section.partition(":")
            if section != "workspace" and (kind not in DOCUMENT_SECTIONS or kind == "workspace"):
                allowed = "sections [workspace], [model:NAME], [kind:NAME], [service:NAME]"
                self._add_fault(section, "", "", allowed)
            elif section != "workspace" and not is_name(name):
                self._add_fault(section, "", "", f"a section name of {NAME_ALLOWED}")

    def _read_named_sections(self, kind: str, section_class: type) -> list[tuple[str, Any]]:
        found = []
        for name in self._names(kind):
            section = f"{kind}:{name}"
            raw_by_key = dict(self._parser[section])
            value = read_section(self._file, section, section_class, raw_by_key, self.faults)
            if value is not None:
                found.append((name, value))
        return found

    def _check_workspace(self, raw_by_key: dict[str, str]) -> None:
        name, hashes = raw_by_key.get("name"), raw_by_key.get("key_hashes")
        if name is not None and not is_name(name):
            self._add_fault("workspace", "name", name, NAME_ALLOWED)
        if hashes is not None and not all(map(_HASH.fullmatch, hashes.split() or [""])):
            self._add_fault("workspace", "key_hashes", hashes, HASH_ALLOWED)

    def _check_models(self) -> None:
        names = self._names("model")
        used = set()
        for kind in self._names("kind"):
            model = self._parser[f"kind:{kind}"].get("model")
            used.add(model)
            if model is not None and model not in names:
                allowed = "one of the document's models: " + (", ".join(names) or "none")
                self._add_fault(f"kind:{kind}", "model", model, allowed)
        for name in names:
            if name not in used:
                self._add_fault(f"model:{name}", "", "", "a model that some [kind:NAME] uses")
        if not names and not self._names("service"):
            self._add_fault("workspace", "", "", "a document with a [model:NAME] or [service:NAME]")

    def _check_paths(self) -> None:
        for service in self._names("service"):
            text = self._parser[f"service:{service}"].get("once_only", "")
            if not all(path.startswith("/") for path in text.split()):
                self._add_fault(f"service:{service}", "once_only", text, PATH_ALLOWED)

    def _names(self, kind: str) -> list[str]:
        prefix = f"{kind}:"
        return [
            section.removeprefix(prefix)
            for section in self._parser.sections()
            if section.startswith(prefix)
        ]

    def _add_fault(self, section: str, key: str, value: str, allowed: str) -> None:
        self.faults.append(SettingFault(self._file, section, key, value, allowed))


def _kind_spec(name: str, section: KindSection) -> KindSpec:
    return KindSpec(
        name,
        section.model,
        Urgency[section.urgency.upper()],
        section.first_token_target,
        section.token_interval_target,
        section.max_prompt_tokens,
        section.max_tokens,
        section.idempotent,
    )
