"""Budget of the bytes and connections that a process holds for callers.

The load is a crowd of connections that each hold up to the largest body and stop just short of its
end; 200 of them took a process to 849 MB on a machine of 136 MB. Slow but sound callers, and
callers that do not read their answers, add to it. So do heads of many short lines, which take up to
35 times their length once they are parsed; they count with what they take then. The failure is the
end of the process, or ordinary requests that wait behind such callers.

- Each connection may hold ``CONNECTION_BYTES``, so that heads and short requests always arrive.
- Up to ``SMALL_BYTES`` it may hold as long as the budget has room.
- A larger body needs a claim of its announced length, or of the largest body if it has none. A body
  that has its claim can always arrive, so bodies do not block each other. Claims leave a part of
  the budget to small requests.
- Who gets no room waits unread, at most ``WAIT_SECONDS`` and in bounded number, as the system
  holds some bytes for each. Meanwhile bodies that have made no progress for ``STALL_SECONDS`` end,
  first those that have held most for longest.
- At the limit of connections, one that is idle ends for a new one, else the new one is refused.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from pimentoquay.http1.room import ClaimOutcome

__all__ = ["Account", "ByteBudget", "Decision"]

CONNECTION_BYTES = 8 * 1024
"""Number of bytes that each connection may hold however full the budget is.

A head of 25 lines takes 6 KB once it is parsed."""

SMALL_BYTES = 64 * 1024
"""Most bytes that a connection holds without a claim; prompts are around 30 KB."""

CLAIM_SHARE = 0.75
"""Part of the budget that claims may take; the rest is left to small requests."""

WAITING_SHARE = 0.25
"""Size of the system's buffers of waiting connections, as a part of the budget."""

DEFAULT_SYSTEM_BYTES = 256 * 1024
"""Size that the system's buffer of a connection is taken to have if none is stated."""

PROGRESS_BYTES = 16 * 1024
"""Number of bytes that count as progress of a body; fewer would let single bytes keep its room."""

STALL_SECONDS = 1.0
"""Time without progress after which a body may end for others; a lost packet takes 0.2 to 0.6 s."""

WAIT_SECONDS = 3.0
"""Longest wait for room, after which the caller can still try another gateway in time."""

STALLED = "no progress"
"""Reason for the end of a body that made no progress, under which it is counted."""

FRESH_IDLE_SECONDS = 0.25
"""Age at which a connection without a request may end for a new one."""

KEPT_IDLE_SECONDS = 1.0
"""Time since its last request after which a connection may end for a new one."""


@dataclass(eq=False, slots=True)
class Account:
    """What one connection holds, in bytes.

    ``held`` was read and belongs to no claim, ``unsent`` is of answers, and ``claimed`` is room for
    a body, or the body of the request that runs. ``awaited`` is the part of the claim that has not
    arrived. ``wanted`` is the size of a claim that waits, and ``waits_since`` the time at which
    reading stopped for want of room.
    """

    user: Any
    changed_at: float
    held: int = 0
    unsent: int = 0
    claimed: int = 0
    awaited: int = 0
    wanted: int = 0
    waits_since: float | None = None
    is_arriving: bool = False
    progressed_at: float = 0.0
    progress: int = 0

    @property
    def total(self) -> int:
        """Number of bytes that the connection holds, with the room of its claim."""
        return self.held + self.unsent + self.claimed

    def waited_seconds(self, now: float) -> float:
        """Return for how long the connection has waited for room."""
        return now - self.waits_since if self.waits_since is not None else 0.0

    def stalled_seconds(self, now: float) -> float:
        """Return for how long a body that arrives has made no progress, or zero."""
        return now - self.progressed_at if self.is_arriving else 0.0


@dataclass(frozen=True)
class Decision:
    """Connections that may read on, and those that end, with whether they stalled and a reason."""

    resumed: list[Any] = field(default_factory=list)
    ended: list[tuple[Any, bool, str]] = field(default_factory=list)


class ByteBudget:
    """Decides which connections are read, wait unread, or end.

    ``limit`` is the budget in bytes and may be changed. ``used`` is the number of bytes held, and
    ``ended_by_reason`` counts the connections that ended for want of room.

    Parameters
    ----------
    limit
        The budget in bytes.
    max_connections
        Most connections at a time.
    system_bytes
        Size of the system's buffer of each direction of a connection, or 0 to leave it as it is.
    answer_bytes
        Number of unsent bytes of an answer at which its writer waits.
    """

    def __init__(
        self,
        limit: int,
        max_connections: int,
        system_bytes: int = DEFAULT_SYSTEM_BYTES,
        answer_bytes: int = 64 * 1024,
    ) -> None:
        self.limit = limit
        self.max_connections = max_connections
        self.system_bytes = system_bytes
        self.answer_bytes = answer_bytes
        self.used = 0
        self.ended_by_reason: Counter[str] = Counter()
        self._large_claims = 0
        self._awaited = 0
        self._accounts: dict[Account, None] = {}
        self._fresh: dict[Account, None] = {}
        self._kept: dict[Account, None] = {}
        self._ending: dict[Account, None] = {}
        self._waiting: dict[Account, None] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._accounts)

    @property
    def arrived(self) -> int:
        """Number of bytes held without the parts of claims that have not arrived."""
        return self.used - self._awaited

    @property
    def has_waiting(self) -> bool:
        """Whether connections wait for room."""
        return bool(self._waiting)

    @property
    def waiting(self) -> int:
        """Number of connections that wait for room."""
        return len(self._waiting)

    def open(self, user: Any, now: float) -> tuple[Account, Any | None]:
        """Add a connection; return its account, and a connection to close for it or None.

        That is the new one itself if no other may be closed.
        """
        account = Account(user, now)
        self._accounts[account] = None
        if len(self._accounts) <= self.max_connections:
            self._fresh[account] = None
            return account, None
        found = self._find_idle(now)
        if found is None:
            found = max(self._stalled(now), key=lambda each: _cost(each, now), default=account)
        self.ended_by_reason["refused" if found is account else "idle"] += 1
        self._forget(found)
        if found is not account:
            self._fresh[account] = None
        return account, found.user

    def end(self, account: Account, now: float) -> None:
        """Give back all room of a connection that closes; it counts until it is closed."""
        if account in self._accounts:
            self._set_claimed(account, 0)
            self.used -= account.held
            account.held = account.wanted = 0
            self._forget(account)
            account.changed_at = now
            self._ending[account] = None

    def close(self, account: Account) -> None:
        """Remove a connection with all that it holds."""
        if account in self._accounts:
            self.end(account, account.changed_at)
            self.used -= account.unsent
            account.unsent = 0
            self._forget(account)
            del self._accounts[account]

    def _forget(self, account: Account) -> None:
        account.is_arriving = False
        for accounts in (self._fresh, self._kept, self._ending, self._waiting):
            accounts.pop(account, None)

    def update(self, account: Account, held: int, unsent: int, now: float) -> bool:
        """Set what a connection has read and not sent; return whether it may read on.

        One that has read no more than before does not begin to wait: nothing of it is held back,
        so it may end for others that wait.
        """
        if account not in self._accounts:
            return True
        if account in self._ending:  # Its last answer may still be unsent; it reads nothing more.
            self.used += unsent - account.unsent
            account.unsent = unsent
            return True
        self.used += held + unsent - account.held - account.unsent
        asks_for_room = held > account.held or account in self._waiting
        account.held, account.unsent = held, unsent
        if account.wanted:
            return False
        if account.claimed and account.is_arriving:
            return True
        if asks_for_room and held >= CONNECTION_BYTES and self.used >= self.limit:
            self._let_wait(account, now)
            return False
        self._waiting.pop(account, None)
        account.waits_since = None
        return True

    def readable(self, account: Account) -> int:
        """Return the number of bytes that the connection may read next, at least 1 KB."""
        if account.claimed and account.is_arriving:
            return SMALL_BYTES
        room = max(self.limit - self.used, CONNECTION_BYTES - account.held)
        return max(1024, min(SMALL_BYTES, room))

    def begin(self, account: Account, now: float) -> None:
        """Note that the first bytes of a request have arrived."""
        self._fresh.pop(account, None)
        self._kept.pop(account, None)
        account.is_arriving = True
        account.progressed_at, account.progress = now, 0
        if account.waits_since is not None:  # The wait during the request before is not its own.
            account.waits_since = now

    def claim(self, account: Account, size: int, now: float) -> ClaimOutcome:
        """Claim room for a body of up to ``size`` bytes."""
        if account.claimed or account not in self._accounts:
            return ClaimOutcome.GRANTED
        if account.wanted:
            return ClaimOutcome.WAITING
        if not self._waiting and self._has_room(size):
            self._grant(account, size, now)
            return ClaimOutcome.GRANTED
        buffer_bytes = self.system_bytes or DEFAULT_SYSTEM_BYTES
        most_waiting = max(8, int(WAITING_SHARE * self.limit / buffer_bytes))
        if len(self._waiting) >= most_waiting:
            self.ended_by_reason["many wait"] += 1
            return ClaimOutcome.REFUSED
        account.wanted = size
        self._let_wait(account, now)
        return ClaimOutcome.WAITING

    def progress(self, account: Account, size: int, now: float) -> None:
        """Count bytes of a body that have arrived."""
        self._set_awaited(account, max(0, account.awaited - size))
        account.progress += size
        if account.progress >= PROGRESS_BYTES:
            account.progressed_at, account.progress = now, 0

    def settle(self, account: Account, size: int) -> None:
        """Hold a complete body of ``size`` bytes, whose request now runs."""
        account.is_arriving = False
        self._set_claimed(account, size)

    def release(self, account: Account, now: float) -> None:
        """Give back the room of a request that has ended."""
        account.is_arriving = False
        self._set_claimed(account, 0)
        if account in self._accounts and account not in self._ending:
            account.changed_at = now
            self._kept.pop(account, None)
            self._kept[account] = None

    def decide(self, now: float) -> Decision:
        """Return which of the waiting connections go on, and which end."""
        decision = Decision()
        needed = 0
        for account in tuple(self._waiting):
            if account.wanted and self._has_room(account.wanted) and not needed:
                self._grant(account, account.wanted, now)
                self._resume(account, decision)
            elif not account.wanted and self.used < self.limit:
                self._resume(account, decision)
            elif account.is_arriving and account.waited_seconds(now) >= WAIT_SECONDS:
                self._end(account, "no room in time", account.waited_seconds(now), decision)
            elif account.is_arriving:
                needed += account.wanted or SMALL_BYTES
        if not needed:
            return decision
        stalled = sorted(self._stalled(now), key=lambda each: _cost(each, now), reverse=True)
        for account in stalled:
            if needed <= 0:
                break
            needed -= account.total
            self._end(account, STALLED, account.stalled_seconds(now), decision)
        return decision

    def _has_room(self, size: int) -> bool:
        """Whether a claim fits; one that is alone always does, whatever is left of the budget."""
        most = CLAIM_SHARE * self.limit
        return self.used + size <= most or (not self._large_claims and self.used <= most)

    def _grant(self, account: Account, size: int, now: float) -> None:
        self._set_claimed(account, size)
        self._set_awaited(account, size)
        account.wanted = 0
        account.progressed_at, account.progress = now, 0

    def _set_claimed(self, account: Account, size: int) -> None:
        if account in self._accounts:
            self.used += size - account.claimed
            self._large_claims += (size > SMALL_BYTES) - (account.claimed > SMALL_BYTES)
            account.claimed = size
            self._set_awaited(account, 0)

    def _set_awaited(self, account: Account, size: int) -> None:
        self._awaited += size - account.awaited
        account.awaited = size

    def _let_wait(self, account: Account, now: float) -> None:
        if account.waits_since is None:
            account.waits_since = now
        self._waiting[account] = None

    def _resume(self, account: Account, decision: Decision) -> None:
        del self._waiting[account]
        account.waits_since = None
        decision.resumed.append(account.user)

    def _end(self, account: Account, reason: str, seconds: float, decision: Decision) -> None:
        self._waiting.pop(account, None)
        account.is_arriving = False
        account.wanted = 0
        self.ended_by_reason[reason] += 1
        detail = (
            f"{reason} for {seconds:.1f} s, {account.total} bytes held here, "
            f"{self.used} of {self.limit} in all, {len(self._waiting)} wait"
        )
        decision.ended.append((account.user, reason == STALLED, detail))

    def _stalled(self, now: float) -> Iterable[Account]:
        return (
            each
            for each in self._accounts
            if each.stalled_seconds(now) >= STALL_SECONDS and each not in self._waiting
        )

    def _find_idle(self, now: float) -> Account | None:
        """Return the connection that has been idle for longest, first of those that close."""
        for accounts, seconds in (
            (self._ending, FRESH_IDLE_SECONDS),
            (self._fresh, FRESH_IDLE_SECONDS),
            (self._kept, KEPT_IDLE_SECONDS),
        ):
            # The longest idle one may have an unsent answer, which must not hide the others.
            account = next((each for each in accounts if not each.unsent), None)
            if account is not None and now - account.changed_at >= seconds:
                return account
        return None


def _cost(account: Account, now: float) -> float:
    """Return the bytes that a body holds times the seconds without progress."""
    return max(1, account.total) * account.stalled_seconds(now)
