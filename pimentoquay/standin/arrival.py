"""A request as a stand-in engine received it."""

from dataclasses import dataclass

__all__ = ["Arrival"]


@dataclass(frozen=True)
class Arrival:
    """Request as it was received; header names are in lower case.

    ``header_list`` holds all headers in their order, also those that were sent several times.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    header_list: tuple[tuple[str, str], ...] = ()

    @property
    def is_prefill(self) -> bool:
        """Whether the request is for the prefill stage."""
        return self.headers.get("pimentoquay-stage") == "prefill"

    @property
    def workspaces(self) -> tuple[str, ...]:
        """Names of the workspace that the request states."""
        return tuple(value for name, value in self.header_list if name == "pimentoquay-tenant")

    @property
    def shows_key(self) -> bool:
        """Whether the request has a caller's key as a header."""
        return any(name == "pimentoquay-key" for name, _ in self.header_list)

    @property
    def parts(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt."""
        entries = self.headers.get("pimentoquay-prompt-prefix", "").split(",")
        return tuple(entry.partition(":")[0] for entry in entries)
