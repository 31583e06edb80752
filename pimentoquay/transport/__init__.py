"""Channels between processes: in memory for tests, WebSocket with CBOR between VMs."""

__all__: list[str] = []
