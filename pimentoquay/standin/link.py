"""Network link of limited rate, shared equally between its concurrent transfers."""

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
        Total rate of all transfers, in bytes per second.
    """

    def __init__(self, rate: float) -> None:
        if rate <= 0:
            raise ValueError(f"rate must be positive, got {rate} bytes/s")
        self._rate = rate
        self._transfers: list[_Transfer] = []
        self._last_update_at = 0.0
        self._stalled_until = 0.0
        self._timer: asyncio.TimerHandle | None = None

    async def move(self, size: int) -> None:
        """Wait until ``size`` bytes are transferred; cancellation removes the transfer."""
        transfer = _Transfer(float(size))
        self._advance()
        self._transfers.append(transfer)
        self._schedule_completion()
        try:
            await transfer.done
        finally:
            if transfer in self._transfers:
                self._advance()
                self._transfers.remove(transfer)
                self._schedule_completion()

    def stall(self, seconds: float) -> None:
        """Transfer nothing for some seconds."""
        self._advance()
        self._stalled_until = asyncio.get_running_loop().time() + seconds
        self._schedule_completion()

    def _advance(self) -> None:
        now = asyncio.get_running_loop().time()
        since = max(self._last_update_at, self._stalled_until)
        if self._transfers and now > since:
            progress = (now - since) * self._rate / len(self._transfers)
            for transfer in self._transfers:
                transfer.remaining -= progress
        self._last_update_at = now

    def _schedule_completion(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._transfers:
            return
        loop = asyncio.get_running_loop()
        min_remaining = max(0.0, min(transfer.remaining for transfer in self._transfers))
        start = max(loop.time(), self._stalled_until)
        self._timer = loop.call_at(
            start + min_remaining * len(self._transfers) / self._rate, self._complete_transfers
        )

    def _complete_transfers(self) -> None:
        self._advance()
        for transfer in [item for item in self._transfers if item.remaining <= 0.5]:
            self._transfers.remove(transfer)
            if not transfer.done.done():
                transfer.done.set_result(None)
        self._schedule_completion()
