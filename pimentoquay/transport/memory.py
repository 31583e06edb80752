"""Channels in memory, for tests: a network whose connections can be cut, delayed and paused.

Every message still passes through the codec, so that a message which cannot travel fails here.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from pimentoquay.kernel import Channel, HybridClock, Identity
from pimentoquay.transport.framing import pack, unpack

__all__ = ["MemoryNetwork", "MemoryTransport"]

Accept = Callable[[Channel], Any]


class MemoryNetwork:
    """The addresses and the faults of one in-memory network; delays are in seconds."""

    def __init__(self, delay: float = 0.0005) -> None:
        self.delay = delay
        self.bytes_sent = 0
        self.messages_sent = 0
        self.bytes_sent_by_vm: Counter[str] = Counter()
        self.bytes_received_by_vm: Counter[str] = Counter()
        self.most_unread_by_vm: Counter[str] = Counter()
        self._unread_by_vm: Counter[str] = Counter()
        self._transport_by_address: dict[str, MemoryTransport] = {}
        self._cuts: set[frozenset[str]] = set()
        self._delay_by_pair: dict[frozenset[str], float] = {}
        self._paused: set[str] = set()
        self._repeating_vms: set[str] = set()
        self._channels: list[MemoryChannel] = []

    def transport(self, identity: Identity) -> "MemoryTransport":
        """Return the transport of one process."""
        return MemoryTransport(self, identity)

    def cut(self, vm_a: str, vm_b: str) -> None:
        """Break every channel between two VMs and refuse new ones until ``heal``."""
        self._cuts.add(frozenset((vm_a, vm_b)))
        for channel in list(self._channels):
            if {channel.local.vm, channel.peer.vm} == {vm_a, vm_b}:
                channel.break_off()

    def heal(self, vm_a: str, vm_b: str) -> None:
        """Undo ``cut``."""
        self._cuts.discard(frozenset((vm_a, vm_b)))

    def delay_between(self, vm_a: str, vm_b: str, delay: float) -> None:
        """Delay each message between two VMs by ``delay`` seconds."""
        self._delay_by_pair[frozenset((vm_a, vm_b))] = delay

    def repeat(self, vm: str, is_on: bool) -> None:
        """Deliver each message to or from a VM twice, or end that."""
        if is_on:
            self._repeating_vms.add(vm)
        else:
            self._repeating_vms.discard(vm)

    def copies_of(self, vm_a: str, vm_b: str) -> int:
        """Return how often a message between two VMs is delivered."""
        return 2 if {vm_a, vm_b} & self._repeating_vms else 1

    def pause(self, name: str) -> None:
        """Hold back everything sent to or by a VM, or by one process given as ``vm/process``."""
        self._paused.add(name)

    def resume(self, name: str) -> None:
        """Deliver what ``pause`` held back."""
        self._paused.discard(name)
        for channel in list(self._channels):
            channel.flush()

    def is_cut(self, vm_a: str, vm_b: str) -> bool:
        """Tell whether two VMs cannot reach each other."""
        return frozenset((vm_a, vm_b)) in self._cuts

    def is_paused(self, *processes: Identity) -> bool:
        """Tell whether any of the processes or its VM is paused."""
        return bool(self._paused) and any(
            item.vm in self._paused or f"{item.vm}/{item.process}" in self._paused
            for item in processes
        )

    def delay_of(self, vm_a: str, vm_b: str) -> float:
        """Return the one-way delay between two VMs in seconds."""
        return self._delay_by_pair.get(frozenset((vm_a, vm_b)), self.delay)

    def bind(self, address: str, transport: "MemoryTransport") -> None:
        """Make a transport reachable at an address."""
        if address in self._transport_by_address:
            raise OSError(f"address {address} is in use")
        self._transport_by_address[address] = transport

    def unbind(self, transport: "MemoryTransport") -> None:
        """Remove a transport and break its channels."""
        for address, bound in list(self._transport_by_address.items()):
            if bound is transport:
                del self._transport_by_address[address]
        for channel in list(self._channels):
            if transport.identity in (channel.local, channel.peer):
                channel.break_off()

    def open_pair(
        self, caller: Identity, clock: HybridClock | None, address: str
    ) -> "MemoryChannel":
        """Return the caller's end of a new channel; the other end is served by its acceptor."""
        target = self._transport_by_address.get(address)
        if target is None or target.accept is None:
            raise ConnectionRefusedError(f"nothing listens at {address}")
        if self.is_cut(caller.vm, target.identity.vm):
            raise ConnectionResetError(f"{caller.vm} cannot reach {address}")
        near = MemoryChannel(self, caller, target.identity, clock)
        far = MemoryChannel(self, target.identity, caller, target.clock)
        near.other, far.other = far, near
        self._channels += [near, far]
        target.start(far)
        return near

    def count(self, sender: str, receiver: str, size: int) -> None:
        """Count a frame that goes under way."""
        self.bytes_sent_by_vm[sender] += size
        self.bytes_received_by_vm[receiver] += size
        self._unread_by_vm[sender] += size
        most = max(self.most_unread_by_vm[sender], self._unread_by_vm[sender])
        self.most_unread_by_vm[sender] = most

    def count_read(self, sender: str, size: int) -> None:
        """Count a frame that its receiver has taken."""
        self._unread_by_vm[sender] -= size

    def forget(self, channel: "MemoryChannel") -> None:
        """Drop a closed channel."""
        if channel in self._channels:
            self._channels.remove(channel)


class MemoryChannel:
    """One end of a channel in memory."""

    other: "MemoryChannel"

    def __init__(
        self,
        network: MemoryNetwork,
        local: Identity,
        peer: Identity,
        clock: HybridClock | None,
    ) -> None:
        self._network = network
        self._clock = clock
        self.local = local
        self.peer = peer
        self._received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.under_way: deque[bytes] = deque()
        self._held: list[bytes] = []
        self._closed = False

    def send(self, message: Any) -> None:
        """Encode and deliver a message after the network's delay."""
        frame = pack(message, self._clock)
        if self._closed:
            return
        self._network.messages_sent += 1
        self._network.bytes_sent += len(frame)
        self._network.count(self.local.vm, self.peer.vm, len(frame))
        delay = self._network.delay_of(self.local.vm, self.peer.vm)
        # Timers of one instant fire in any order, so each takes the oldest frame under way.
        for _ in range(self._network.copies_of(self.local.vm, self.peer.vm)):
            self.other.under_way.append(frame)
            asyncio.get_running_loop().call_later(delay, self.other.deliver)

    async def receive(self) -> Any:
        """Return the next message; ``ConnectionError`` once the channel has closed."""
        frame = await self._received.get()
        if frame is None:
            raise ConnectionResetError(f"the channel to {self.peer.vm} has closed")
        self._network.count_read(self.peer.vm, len(frame))
        return unpack(frame, self._clock)

    async def close(self) -> None:
        """Close both ends."""
        self.break_off()

    def deliver(self) -> None:
        """Take the oldest frame off the network."""
        frame = self.under_way.popleft()
        if self._closed:
            return
        if self._network.is_paused(self.local, self.peer):
            self._held.append(frame)
        else:
            self._received.put_nowait(frame)

    def flush(self) -> None:
        """Deliver what was held back, unless the network is still paused here."""
        if not self._network.is_paused(self.local, self.peer):
            held, self._held = self._held, []
            for frame in held:
                self._received.put_nowait(frame)

    def break_off(self) -> None:
        """End the channel at both ends at once."""
        for end in (self, self.other):
            if not end._closed:
                end._closed = True
                end._received.put_nowait(None)
                self._network.forget(end)


class MemoryTransport:
    """The transport of one process on a ``MemoryNetwork``."""

    def __init__(self, network: MemoryNetwork, identity: Identity) -> None:
        self._network = network
        self.identity = identity
        self.accept: Accept | None = None
        self.clock: HybridClock | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def stamp_with(self, clock: HybridClock) -> None:
        """Stamp every message sent, and follow the stamps received."""
        self.clock = clock

    async def listen(self, address: str, accept: Accept) -> None:
        """Accept channels at an address."""
        self.accept = accept
        self._network.bind(address, self)

    async def connect(self, address: str) -> Channel:
        """Open a channel after one round trip."""
        await asyncio.sleep(2 * self._network.delay)
        return self._network.open_pair(self.identity, self.clock, address)

    def start(self, channel: Channel) -> None:
        """Serve an accepted channel in a task of its own."""
        assert self.accept is not None
        task = asyncio.get_running_loop().create_task(self.accept(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop listening and break every channel of this process."""
        self._network.unbind(self)
