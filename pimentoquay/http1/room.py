"""Room for what the connections of a server hold together, as a budget decides it.

The budget is asked by each connection as it opens, reads and answers. Connections that wait are
looked at again whenever room is given back, and at intervals.
"""

import asyncio
from collections.abc import Sequence
from enum import Enum
from typing import Any, Protocol

__all__ = ["ClaimOutcome", "RoomBudget", "RoomKeeper", "RoomUser"]

CHECK_SECONDS = 0.1
"""Interval at which connections that wait for room are looked at."""


class ClaimOutcome(Enum):
    """What becomes of a claim of room for a body."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


class RoomUser(Protocol):
    """A connection that the budget may let wait, continue or end."""

    def resume_for_room(self) -> None:
        """Go on reading."""

    def refuse_for_room(self, is_stalled: bool, detail: str) -> None:
        """End the connection; ``is_stalled`` if its own body made no progress."""

    def end_for_others(self) -> None:
        """Close the connection at once, as its descriptor is needed."""


class RoomDecision(Protocol):
    """Connections to continue, and to end with the reason and whether they made no progress."""

    @property
    def resumed(self) -> Sequence[Any]:
        """Connections that may read on."""

    @property
    def ended(self) -> Sequence[tuple[Any, bool, str]]:
        """Connections to end, whether they made no progress, and the reason in words."""


class RoomBudget(Protocol):
    """Budget of the bytes and connections of a server; see ``policy.byte_budget``.

    ``system_bytes`` is the size of the system's buffer of each direction of a connection, or 0 to
    leave it as it is, and ``answer_bytes`` the number of unsent bytes of an answer at which its
    writer waits.
    """

    @property
    def system_bytes(self) -> int: ...  # noqa: D102

    @property
    def answer_bytes(self) -> int: ...  # noqa: D102

    @property
    def has_waiting(self) -> bool: ...  # noqa: D102

    def open(self, user: Any, now: float) -> tuple[Any, Any | None]: ...  # noqa: D102

    def end(self, account: Any, now: float) -> None: ...  # noqa: D102

    def close(self, account: Any) -> None: ...  # noqa: D102

    def update(self, account: Any, held: int, unsent: int, now: float) -> bool: ...  # noqa: D102

    def readable(self, account: Any) -> int: ...  # noqa: D102

    def begin(self, account: Any, now: float) -> None: ...  # noqa: D102

    def claim(self, account: Any, size: int, now: float) -> ClaimOutcome: ...  # noqa: D102

    def progress(self, account: Any, size: int, now: float) -> None: ...  # noqa: D102

    def settle(self, account: Any, size: int) -> None: ...  # noqa: D102

    def release(self, account: Any, now: float) -> None: ...  # noqa: D102

    def decide(self, now: float) -> RoomDecision: ...  # noqa: D102


class RoomKeeper:
    """Applies the decisions of a budget to the connections of a server."""

    def __init__(self, budget: RoomBudget) -> None:
        self.budget = budget
        self._timer: asyncio.TimerHandle | None = None
        self._is_check_soon = False

    def check_soon(self) -> None:
        """Look at the waiting connections in the next pass of the event loop, if there are any."""
        if self.budget.has_waiting and not self._is_check_soon:
            self._is_check_soon = True
            asyncio.get_running_loop().call_soon(self._check)

    def _check(self) -> None:
        self._is_check_soon = False
        loop = asyncio.get_running_loop()
        decision = self.budget.decide(loop.time())
        for user, is_stalled, detail in decision.ended:
            user.refuse_for_room(is_stalled, detail)
        for user in decision.resumed:
            user.resume_for_room()
        if self._timer is not None:
            self._timer.cancel()
        waits = self.budget.has_waiting
        self._timer = loop.call_later(CHECK_SECONDS, self._check) if waits else None
