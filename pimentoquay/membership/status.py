"""Status of the membership list, shown to operators."""

from pimentoquay.kernel.status import PartStatus, StatusItem
from pimentoquay.membership.reader import AGE_UNITS_PER_SECOND, ListReader

__all__ = ["list_status"]


def list_status(version: int, reader: ListReader) -> PartStatus:
    """Return the status of this VM's copy of the list; ``version`` is -1 if there is none."""
    if version < 0:
        return PartStatus("membership", ())
    age = reader.age_units / AGE_UNITS_PER_SECOND
    if reader.is_readable:
        detail = f"version {version}, confirmed {age:.0f} s ago"
        return PartStatus("membership", (StatusItem("list", "ok", detail),))
    detail = f"the list cannot be read; served by version {version}, confirmed {age:.0f} s ago"
    return PartStatus("membership", (StatusItem("list", "waiting", detail),))
