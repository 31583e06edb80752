"""Links between VMs and engines that a test can cut, for gateways and stand-ins in one process.

A gateway of a test opens its connections to engines through ``VirtualLinks.connector``. While its
link to an engine is cut, the connections over it behave as ``Cut`` says.

Example
-------
::

    links = VirtualLinks()
    connect = links.connector("vm-1")
    links.cut("vm-1", Cut.SILENT)
    links.heal("vm-1")
"""

import asyncio
from collections.abc import Callable, Collection
from enum import Enum
from typing import Any

from pimentoquay.http1 import SharedBufferProtocol, connect_tcp

__all__ = ["Connect", "Cut", "VirtualLinks"]

Connect = Callable[..., Any]


class Cut(Enum):
    """How a link is cut; the value of each member describes it."""

    SILENT = "nothing arrives in either direction, and no connection is established"
    REFUSED = "connections are reset, and new ones are refused"
    RESET = "connections are reset, and new ones are reset as well"
    NEW_REFUSED = "connections live on, and new ones are refused"
    NEW_SILENT = "connections live on, and no new one is established"
    OLD_SILENT = "nothing arrives on connections for good, and new ones work"


_SILENT_CUTS = (Cut.SILENT, Cut.OLD_SILENT)
_RESETTING_CUTS = (Cut.REFUSED, Cut.RESET)


class VirtualLinks:
    """Links of several VMs to the addresses of engines.

    ``on_attempt`` is called with the VM and the address for each connection that is opened.
    """

    def __init__(self) -> None:
        self._cut_by_link: dict[tuple[str, str], Cut] = {}
        self._connections: set[_Connection] = set()
        self._healed = asyncio.Event()
        self.attempts_by_vm: dict[str, int] = {}
        self.on_attempt: Callable[[str, str], None] = lambda vm, address: None

    def connector(self, vm: str) -> Connect:
        """Return a function that opens connections of a VM, as ``connect_tcp`` does."""

        async def connect(
            factory: Callable[[], Any], host: str, port: int
        ) -> tuple[Any, asyncio.BaseProtocol]:
            self.attempts_by_vm[vm] = self.attempts_by_vm.get(vm, 0) + 1
            address = f"{host}:{port}"
            self.on_attempt(vm, address)
            while (cut := self._cut_of(vm, address)) in (Cut.SILENT, Cut.NEW_SILENT):
                await self._healed.wait()
            if cut in (Cut.REFUSED, Cut.NEW_REFUSED):
                raise ConnectionRefusedError(f"{vm} cannot reach {address}")
            if cut is Cut.RESET:
                raise ConnectionResetError(f"{vm} cannot reach {address}")
            connection = _Connection(vm, address, self._connections.discard)
            await connect_tcp(lambda: connection, host, port)
            self._connections.add(connection)
            inner = factory()
            connection.attach(inner)
            return connection.inner_transport, inner

        return connect

    def cut(self, vm: str, how: Cut, addresses: Collection[str] = ()) -> None:
        """Cut a VM's links to some engines, or to all of them if no address is given."""
        for address in addresses or ("",):
            self._cut_by_link[vm, address] = how
        for connection in tuple(self._connections):
            if connection.vm == vm and (not addresses or connection.address in addresses):
                if how in _RESETTING_CUTS:
                    connection.reset()
                elif how in _SILENT_CUTS:
                    connection.hold()

    def heal(self, vm: str) -> None:
        """End all cuts of a VM; what was held up arrives."""
        self._cut_by_link = {link: how for link, how in self._cut_by_link.items() if link[0] != vm}
        self._healed.set()
        self._healed = asyncio.Event()
        for connection in tuple(self._connections):
            if connection.vm == vm:
                connection.release()

    def _cut_of(self, vm: str, address: str) -> Cut | None:
        return self._cut_by_link.get((vm, address)) or self._cut_by_link.get((vm, ""))


class _Connection(SharedBufferProtocol):
    """A real connection, between its socket and the protocol that uses it."""

    def __init__(self, vm: str, address: str, on_end: Callable[["_Connection"], None]) -> None:
        self.vm = vm
        self.address = address
        self.inner_transport = _InnerTransport(self)
        self._on_end = on_end
        self._inner: Any = None
        self.transport: Any = None
        self.is_held = False
        self.is_left = False
        self._received: list[Callable[[], None]] = []
        self._unsent: list[bytes] = []

    def attach(self, inner: Any) -> None:
        self._inner = inner
        inner.connection_made(self.inner_transport)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._deliver(lambda: self._inner.data_received(data))

    def eof_received(self) -> bool:
        self._deliver(lambda: self._inner.eof_received())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._deliver(lambda: self._end(exc))

    def write(self, data: bytes) -> None:
        if self.is_held:
            self._unsent.append(data)
        else:
            self.transport.write(data)

    def leave(self) -> None:
        """Abort for the side that uses the connection; the other side learns it over the link."""
        if self.is_left:
            return
        self.is_left = True
        self._unsent.clear()
        asyncio.get_running_loop().call_soon(self._end, None)
        if not self.is_held:
            self.transport.abort()

    def reset(self) -> None:
        """Reset the connection for both sides."""
        self.transport.abort()
        self._deliver(lambda: self._end(ConnectionResetError("reset")))

    def hold(self) -> None:
        self.is_held = True

    def release(self) -> None:
        """Deliver what was held up."""
        if not self.is_held:
            return
        self.is_held = False
        if self.is_left:
            self.transport.abort()
            return
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self.transport.write(data)
        received, self._received = self._received, []
        for deliver in received:
            self._deliver(deliver)

    def _deliver(self, deliver: Callable[[], None]) -> None:
        if self.is_held:
            self._received.append(deliver)
        elif self._inner is not None:
            deliver()

    def _end(self, exc: Exception | None) -> None:
        self._on_end(self)
        inner, self._inner = self._inner, None
        if inner is not None:
            inner.connection_lost(exc)


class _InnerTransport(asyncio.Transport):
    """Transport that the protocol over a connection sees."""

    def __init__(self, connection: _Connection) -> None:
        super().__init__()
        self._connection = connection

    def write(self, data: Any) -> None:
        self._connection.write(bytes(data))

    def get_write_buffer_size(self) -> int:
        return self._connection.transport.get_write_buffer_size()

    def is_closing(self) -> bool:
        return self._connection.is_left or self._connection.transport.is_closing()

    def pause_reading(self) -> None:
        self._connection.transport.pause_reading()

    def resume_reading(self) -> None:
        self._connection.transport.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._connection.transport.get_extra_info(name, default)

    def abort(self) -> None:
        self._connection.leave()

    def close(self) -> None:
        self._connection.leave()
