"""A link of limited rate, shared equally between the transfers under way on it."""

import asyncio

__all__ = ["Link"]


class _Transfer:
    def __init__(self, size: float) -> None:
        self.remaining = size
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class Link:
    """One direction of an engine's network interface.

    Parameters
    ----------
    rate
        Bytes a second, for all transfers together.
    """

    def __init__(self, rate: float) -> None:
        if rate <= 0:
            raise ValueError(f"rate must be positive, got {rate} bytes/s")
        self._rate = rate
        self._transfers: list[_Transfer] = []
        self._last_change = 0.0
        self._stalled_until = 0.0
        self._timer: asyncio.TimerHandle | None = None

    async def move(self, size: int) -> None:
        """Wait until ``size`` bytes have passed; cancelling withdraws the transfer."""
        transfer = _Transfer(float(size))
        self._advance()
        self._transfers.append(transfer)
        self._schedule()
        try:
            await transfer.done
        finally:
            if transfer in self._transfers:
                self._advance()
                self._transfers.remove(transfer)
                self._schedule()

    def stall(self, seconds: float) -> None:
        """Let nothing pass for a while."""
        self._advance()
        self._stalled_until = asyncio.get_running_loop().time() + seconds
        self._schedule()

    def _advance(self) -> None:
        now = asyncio.get_running_loop().time()
        since = max(self._last_change, self._stalled_until)
        if self._transfers and now > since:
            share = (now - since) * self._rate / len(self._transfers)
            for transfer in self._transfers:
                transfer.remaining -= share
        self._last_change = now

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._transfers:
            return
        loop = asyncio.get_running_loop()
        least = max(0.0, min(transfer.remaining for transfer in self._transfers))
        start = max(loop.time(), self._stalled_until)
        self._timer = loop.call_at(start + least * len(self._transfers) / self._rate, self._finish)

    def _finish(self) -> None:
        self._advance()
        for transfer in [item for item in self._transfers if item.remaining <= 0.5]:
            self._transfers.remove(transfer)
            if not transfer.done.done():
                transfer.done.set_result(None)
        self._schedule()
