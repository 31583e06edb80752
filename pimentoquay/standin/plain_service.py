"""Stand-in for a plain service, that is, a backend server that is not a model engine.

It counts the runs of each call, so that a test can detect calls that ran more than once.
"""

import asyncio
import json
from collections import Counter, deque
from dataclasses import dataclass

from pimentoquay.backends.base import PlainAnswer, PlainCall, PlainLostError
from pimentoquay.kernel.settings import setting

__all__ = ["PlainModel", "PlainObservation", "PlainRun", "StandinPlain"]

_MAX_RUNS = 20_000
_JSON = "application/json"


@dataclass(frozen=True)
class PlainModel:
    """Durations and limits of a plain service."""

    service_seconds: float = setting(
        help="duration of a call", default=0.01, low=0.0, high=600.0, unit="s"
    )
    concurrency: int = setting(
        help="number of concurrent calls at which more are refused",
        default=100,
        low=1,
        high=100_000,
    )


@dataclass(frozen=True)
class PlainRun:
    """Call that ran to its end.

    ``key`` is its idempotency key or empty, ``at`` the event-loop time of its end in seconds.
    """

    request_id: str
    key: str
    path: str
    at: float


@dataclass(frozen=True)
class PlainObservation:
    """Counters and records of one plain service.

    ``request_ids_twice`` and ``keys_twice`` are the request ids and the idempotency keys whose
    calls ran more than once.
    """

    service: str
    now: float
    calls: int
    refused: int
    running: int
    request_ids_twice: tuple[str, ...]
    keys_twice: tuple[str, ...]
    runs: tuple[PlainRun, ...]


class StandinPlain:
    """Stand-in plain service; it implements ``PlainClient``.

    The idempotency key of a call is the member ``idempotency_key`` of its JSON body. A call that
    has started runs to its end even if its caller disconnects or times out.

    Parameters
    ----------
    name
        Name of the service on the membership list.
    model
        Durations and limits.
    """

    def __init__(self, name: str, model: PlainModel | None = None) -> None:
        self.name = name
        self.model = model or PlainModel()
        self._runs: deque[PlainRun] = deque(maxlen=_MAX_RUNS)
        self._count_by_request: Counter[str] = Counter()
        self._count_by_key: Counter[str] = Counter()
        self._calls = 0
        self._refused = 0
        self._running = 0
        self._is_up = True
        self._refusals_left = 0
        self._crashes_before_run = 0
        self._crashes_after_run = 0
        self._extra_delay = 0.0
        self._tasks: set[asyncio.Task[PlainAnswer]] = set()

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        """Run a call and return its response.

        Raises
        ------
        PlainLostError
            If the connection is lost or no response comes within ``timeout`` seconds.
        """
        self._calls += 1
        if not self._is_up:
            raise PlainLostError(f"{self.name} is down", written=False)
        if self._crashes_before_run > 0:
            self._crashes_before_run -= 1
            raise PlainLostError(f"{self.name} crashed", written=True)
        if self._refusals_left > 0 or self._running >= self.model.concurrency:
            self._refusals_left = max(0, self._refusals_left - 1)
            self._refused += 1
            return PlainAnswer(503, b'{"error": "overloaded"}', _JSON, not_run=True)
        task = asyncio.get_running_loop().create_task(self._run(call))
        self._tasks.add(task)
        task.add_done_callback(self._remove_task)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(task)
        except TimeoutError:
            raise PlainLostError(f"{self.name}: no answer in {timeout} s", written=True) from None

    def crash(self) -> None:
        """Reject calls until ``restart``; running calls still finish but lose their responses."""
        self._is_up = False

    def restart(self) -> None:
        """Accept calls again."""
        self._is_up = True

    def refuse_next(self, count: int) -> None:
        """Refuse the next ``count`` calls and mark them as not run."""
        self._refusals_left = count

    def crash_before_next(self, count: int) -> None:
        """Lose the connections of the next ``count`` calls after reading them, before they run."""
        self._crashes_before_run = count

    def crash_after_next(self, count: int) -> None:
        """Lose the responses of the next ``count`` calls after they ran."""
        self._crashes_after_run = count

    def slow(self, seconds: float) -> None:
        """Add ``seconds`` to the duration of each call; 0 removes the delay."""
        self._extra_delay = seconds

    def observed(self) -> PlainObservation:
        """Return the counters and records for the checks of a test."""
        return PlainObservation(
            self.name,
            asyncio.get_running_loop().time(),
            self._calls,
            self._refused,
            self._running,
            _repeated(self._count_by_request),
            _repeated(self._count_by_key),
            tuple(self._runs),
        )

    async def _run(self, call: PlainCall) -> PlainAnswer:
        self._running += 1
        try:
            await asyncio.sleep(self.model.service_seconds + self._extra_delay)
        finally:
            self._running -= 1
        self._record(call)
        if self._crashes_after_run > 0 or not self._is_up:
            self._crashes_after_run = max(0, self._crashes_after_run - 1)
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

    def _remove_task(self, task: asyncio.Task[PlainAnswer]) -> None:
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


def _repeated(counts: Counter[str]) -> tuple[str, ...]:
    return tuple(sorted(name for name, count in counts.items() if count > 1))
