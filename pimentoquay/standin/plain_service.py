"""A plain service that counts its runs, with calls that must not be repeated."""

import asyncio
import json
from collections import Counter, deque
from dataclasses import dataclass

from pimentoquay.backends.base import PlainAnswer, PlainCall, PlainLostError
from pimentoquay.kernel.settings import setting

__all__ = ["PlainModel", "PlainObserved", "PlainRun", "StandinPlain"]

_RUNS_KEPT = 20_000
_JSON = "application/json"


@dataclass(frozen=True)
class PlainModel:
    """Costs and limits of a plain service."""

    service_seconds: float = setting(
        help="time of one call", default=0.01, low=0.0, high=600.0, unit="s"
    )
    concurrency: int = setting(
        help="calls at once before more are refused", default=100, low=1, high=100_000
    )


@dataclass(frozen=True)
class PlainRun:
    """One call that ran; ``key`` is its idempotency key or empty, ``at`` loop time in seconds."""

    request_id: str
    key: str
    path: str
    at: float


@dataclass(frozen=True)
class PlainObserved:
    """What a plain service saw; a key or request id that ran more than once is in ``twice``."""

    service: str
    now: float
    calls: int
    refused: int
    running: int
    request_ids_twice: tuple[str, ...]
    keys_twice: tuple[str, ...]
    runs: tuple[PlainRun, ...]


class StandinPlain:
    """One plain service; it implements ``PlainClient``.

    A call's idempotency key is the member ``idempotency_key`` of its JSON body. A run that has
    begun goes on when its caller leaves or times out.

    Parameters
    ----------
    name
        The service's name on the membership list.
    model
        Costs and limits.
    """

    def __init__(self, name: str, model: PlainModel | None = None) -> None:
        self.name = name
        self.model = model or PlainModel()
        self._runs: deque[PlainRun] = deque(maxlen=_RUNS_KEPT)
        self._count_by_request: Counter[str] = Counter()
        self._count_by_key: Counter[str] = Counter()
        self._calls = 0
        self._refused = 0
        self._running = 0
        self._is_up = True
        self._refusals = 0
        self._crashes_before = 0
        self._crashes_after = 0
        self._slowness = 0.0
        self._tasks: set[asyncio.Task[PlainAnswer]] = set()

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        """Run one call; ``PlainLostError`` when no whole answer came."""
        self._calls += 1
        if not self._is_up:
            raise PlainLostError(f"{self.name} is down", written=False)
        if self._crashes_before > 0:
            self._crashes_before -= 1
            raise PlainLostError(f"{self.name} crashed", written=True)
        if self._refusals > 0 or self._running >= self.model.concurrency:
            self._refusals = max(0, self._refusals - 1)
            self._refused += 1
            return PlainAnswer(503, b'{"error": "overloaded"}', _JSON, not_run=True)
        task = asyncio.get_running_loop().create_task(self._run(call))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(task)
        except TimeoutError:
            raise PlainLostError(f"{self.name}: no answer in {timeout} s", written=True) from None

    def crash(self) -> None:
        """Take no call until ``restart``; calls under way still run, their answers are lost."""
        self._is_up = False

    def restart(self) -> None:
        """Take calls again."""
        self._is_up = True

    def refuse_next(self, count: int) -> None:
        """Refuse the next calls with proof that they did not run."""
        self._refusals = count

    def crash_before_next(self, count: int) -> None:
        """Lose the connection of the next calls after reading them and before they run."""
        self._crashes_before = count

    def crash_after_next(self, count: int) -> None:
        """Lose the answers of the next calls after they ran."""
        self._crashes_after = count

    def slow(self, seconds: float) -> None:
        """Add some seconds to every call; 0 ends it."""
        self._slowness = seconds

    def observed(self) -> PlainObserved:
        """Return what a checker needs to know."""
        return PlainObserved(
            self.name,
            asyncio.get_running_loop().time(),
            self._calls,
            self._refused,
            self._running,
            _twice(self._count_by_request),
            _twice(self._count_by_key),
            tuple(self._runs),
        )

    async def _run(self, call: PlainCall) -> PlainAnswer:
        self._running += 1
        try:
            await asyncio.sleep(self.model.service_seconds + self._slowness)
        finally:
            self._running -= 1
        self._record(call)
        if self._crashes_after > 0 or not self._is_up:
            self._crashes_after = max(0, self._crashes_after - 1)
            raise PlainLostError(f"{self.name} crashed", written=True)
        body = {"request_id": call.request_id, "path": call.path, "run": len(self._runs)}
        return PlainAnswer(200, json.dumps(body).encode(), _JSON, not_run=False)

    def _record(self, call: PlainCall) -> None:
        key = _idempotency_key(call.body)
        now = asyncio.get_running_loop().time()
        self._runs.append(PlainRun(call.request_id, key, call.path, now))
        self._count_by_request[call.request_id] += 1
        if key:
            self._count_by_key[key] += 1

    def _forget(self, task: asyncio.Task[PlainAnswer]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()


def _idempotency_key(body: bytes) -> str:
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    key = value.get("idempotency_key", "") if isinstance(value, dict) else ""
    return key if isinstance(key, str) else ""


def _twice(counts: Counter[str]) -> tuple[str, ...]:
    return tuple(sorted(name for name, count in counts.items() if count > 1))
