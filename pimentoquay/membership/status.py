"""What the membership part tells operators of the platform's list."""

from pimentoquay.kernel.status import PartStatus, StatusItem
from pimentoquay.membership.reader import AGE_UNITS, ListReader

__all__ = ["list_status"]


def list_status(version: int, reader: ListReader) -> PartStatus:
    """Return the state of the list as this VM holds it."""
    if version < 0:
        return PartStatus("membership", ())
    age = reader.age_units / AGE_UNITS
    if reader.is_readable:
        detail = f"version {version}, confirmed {age:.0f} s ago"
        return PartStatus("membership", (StatusItem("list", "ok", detail),))
    detail = f"the list cannot be read; served by version {version}, confirmed {age:.0f} s ago"
    return PartStatus("membership", (StatusItem("list", "waiting", detail),))
