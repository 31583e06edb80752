"""In-memory channels for tests, on a network with partitions, delays, duplicates and pauses.

Every message still passes through the codec, so one that is too large is not sent here either.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from pimentoquay.kernel import Channel, HybridClock, Identity
from pimentoquay.transport.framing import pack_unless_too_large, unpack

__all__ = ["MemoryNetwork", "MemoryTransport"]

AcceptCallback = Callable[[Channel], Any]


class MemoryNetwork:
    """Addresses, traffic counters and injected faults of one in-memory network.

    Parameters
    ----------
    delay
        One-way delay of messages in seconds, unless ``set_delay`` sets another one.

    Attributes
    ----------
    most_unread_by_vm
        Maximum number of bytes that each VM has sent and no receiver had read yet.
    """

    def __init__(self, delay: float = 0.0005) -> None:
        self.delay = delay
        self.bytes_sent = 0
        self.messages_sent = 0
        self.bytes_sent_by_vm: Counter[str] = Counter()
        self.bytes_received_by_vm: Counter[str] = Counter()
        self.most_unread_by_vm: Counter[str] = Counter()
        self._unread_by_vm: Counter[str] = Counter()
        self._transport_by_address: dict[str, MemoryTransport] = {}
        self._cut_pairs: set[frozenset[str]] = set()
        self._delay_by_pair: dict[frozenset[str], float] = {}
        self._paused_names: set[str] = set()
        self._duplicating_vms: set[str] = set()
        self._channels: list[MemoryChannel] = []

    def transport(self, identity: Identity) -> "MemoryTransport":
        """Return a transport for one process."""
        return MemoryTransport(self, identity)

    def cut(self, vm_a: str, vm_b: str) -> None:
        """Partition two VMs: close their channels and reject new ones until ``heal`` is called."""
        self._cut_pairs.add(frozenset((vm_a, vm_b)))
        for channel in list(self._channels):
            if {channel.local.vm, channel.peer.vm} == {vm_a, vm_b}:
                channel.disconnect()

    def heal(self, vm_a: str, vm_b: str) -> None:
        """End the partition between two VMs."""
        self._cut_pairs.discard(frozenset((vm_a, vm_b)))

    def set_delay(self, vm_a: str, vm_b: str, delay: float) -> None:
        """Set the one-way delay between two VMs, in seconds."""
        self._delay_by_pair[frozenset((vm_a, vm_b))] = delay

    def set_duplication(self, vm: str, is_enabled: bool) -> None:
        """Start or stop delivering each message to or from a VM twice."""
        if is_enabled:
            self._duplicating_vms.add(vm)
        else:
            self._duplicating_vms.discard(vm)

    def deliveries_between(self, vm_a: str, vm_b: str) -> int:
        """Return how many times each message between two VMs is delivered."""
        return 2 if {vm_a, vm_b} & self._duplicating_vms else 1

    def pause(self, name: str) -> None:
        """Hold all messages to and from a VM, or a process given as ``vm/process``."""
        self._paused_names.add(name)

    def resume(self, name: str) -> None:
        """End a pause and deliver the held messages."""
        self._paused_names.discard(name)
        for channel in list(self._channels):
            channel.flush()

    def is_cut(self, vm_a: str, vm_b: str) -> bool:
        """Return whether two VMs are partitioned from each other."""
        return frozenset((vm_a, vm_b)) in self._cut_pairs

    def is_paused(self, *processes: Identity) -> bool:
        """Return whether any of the processes, or the VM of any of them, is paused."""
        return bool(self._paused_names) and any(
            item.vm in self._paused_names or f"{item.vm}/{item.process}" in self._paused_names
            for item in processes
        )

    def one_way_delay(self, vm_a: str, vm_b: str) -> float:
        """Return the one-way delay between two VMs in seconds."""
        return self._delay_by_pair.get(frozenset((vm_a, vm_b)), self.delay)

    def bind(self, address: str, transport: "MemoryTransport") -> None:
        """Make a transport reachable at an address."""
        if address in self._transport_by_address:
            raise OSError(f"address {address} is in use")
        self._transport_by_address[address] = transport

    def unbind(self, transport: "MemoryTransport") -> None:
        """Unbind a transport from its addresses and close its channels."""
        for address, bound in list(self._transport_by_address.items()):
            if bound is transport:
                del self._transport_by_address[address]
        for channel in list(self._channels):
            if transport.identity in (channel.local, channel.peer):
                channel.disconnect()

    def open_pair(
        self, caller: Identity, clock: HybridClock | None, address: str
    ) -> "MemoryChannel":
        """Open a channel to an address, start serving its other end and return the caller's end."""
        target = self._transport_by_address.get(address)
        if target is None or target.accept is None:
            raise ConnectionRefusedError(f"nothing listens at {address}")
        if self.is_cut(caller.vm, target.identity.vm):
            raise ConnectionResetError(f"{caller.vm} cannot reach {address}")
        caller_end = MemoryChannel(self, caller, target.identity, clock)
        acceptor_end = MemoryChannel(self, target.identity, caller, target.clock)
        caller_end.other, acceptor_end.other = acceptor_end, caller_end
        self._channels += [caller_end, acceptor_end]
        target.serve(acceptor_end)
        return caller_end

    def count(self, sender: str, receiver: str, size: int) -> None:
        """Count a sent frame of ``size`` bytes."""
        self.bytes_sent_by_vm[sender] += size
        self.bytes_received_by_vm[receiver] += size
        self._unread_by_vm[sender] += size
        max_unread = max(self.most_unread_by_vm[sender], self._unread_by_vm[sender])
        self.most_unread_by_vm[sender] = max_unread

    def count_read(self, sender: str, size: int) -> None:
        """Count a frame of ``size`` bytes as read by its receiver."""
        self._unread_by_vm[sender] -= size

    def remove_channel(self, channel: "MemoryChannel") -> None:
        """Remove a closed channel."""
        if channel in self._channels:
            self._channels.remove(channel)


class MemoryChannel:
    """One end of an in-memory channel between two processes."""

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
        self.in_flight: deque[bytes] = deque()
        self._held_frames: list[bytes] = []
        self._closed = False

    @property
    def unsent_bytes(self) -> int:
        """Always 0, as a sent frame is in flight at once."""
        return 0

    def send(self, message: Any) -> None:
        """Encode a message now and deliver it after the network's delay."""
        frame = pack_unless_too_large(message, self._clock, self.peer.vm)
        if frame is None or self._closed:
            return
        self._network.messages_sent += 1
        self._network.bytes_sent += len(frame)
        self._network.count(self.local.vm, self.peer.vm, len(frame))
        delay = self._network.one_way_delay(self.local.vm, self.peer.vm)
        # Timers due at the same instant fire in any order, so each delivers the oldest frame.
        for _ in range(self._network.deliveries_between(self.local.vm, self.peer.vm)):
            self.other.in_flight.append(frame)
            asyncio.get_running_loop().call_later(delay, self.other.deliver)

    async def receive(self) -> Any:
        """Return the next message; ``ConnectionError`` once the channel is closed."""
        frame = await self._received.get()
        if frame is None:
            raise ConnectionResetError(f"channel to {self.peer.vm} is closed")
        self._network.count_read(self.peer.vm, len(frame))
        return unpack(frame, self._clock)

    async def close(self) -> None:
        """Close both ends of the channel."""
        self.disconnect()

    def deliver(self) -> None:
        """Deliver the oldest frame in flight to this end, or hold it during a pause."""
        frame = self.in_flight.popleft()
        if self._closed:
            return
        if self._network.is_paused(self.local, self.peer):
            self._held_frames.append(frame)
        else:
            self._received.put_nowait(frame)

    def flush(self) -> None:
        """Deliver the held frames, unless one of the two processes is still paused."""
        if not self._network.is_paused(self.local, self.peer):
            held, self._held_frames = self._held_frames, []
            for frame in held:
                self._received.put_nowait(frame)

    def disconnect(self) -> None:
        """Close both ends immediately; frames in flight are lost."""
        for end in (self, self.other):
            if not end._closed:
                end._closed = True
                end._received.put_nowait(None)
                self._network.remove_channel(end)


class MemoryTransport:
    """The transport of one process on a ``MemoryNetwork``."""

    def __init__(self, network: MemoryNetwork, identity: Identity) -> None:
        self._network = network
        self.identity = identity
        self.accept: AcceptCallback | None = None
        self.clock: HybridClock | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def stamp_with(self, clock: HybridClock) -> None:
        """Add timestamps of ``clock`` to sent messages, and advance it by received timestamps."""
        self.clock = clock

    async def listen(self, address: str, accept: AcceptCallback) -> None:
        """Accept channels at an address and run ``accept`` for each of them."""
        self.accept = accept
        self._network.bind(address, self)

    async def connect(self, address: str) -> Channel:
        """Open a channel to an address after one round trip with the default delay."""
        await asyncio.sleep(2 * self._network.delay)
        return self._network.open_pair(self.identity, self.clock, address)

    def serve(self, channel: Channel) -> None:
        """Run the accept callback for a channel in a separate task."""
        assert self.accept is not None
        task = asyncio.get_running_loop().create_task(self.accept(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop listening and close every channel of this process."""
        self._network.unbind(self)
