"""Channels between processes: CBOR messages over WebSocket, or in memory for tests."""

__all__: list[str] = []
