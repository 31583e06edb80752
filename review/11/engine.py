"""Engine of a plain service that answers with streams, as a process of its own.

Its answers have neither a length nor chunks and end with their connection. Every event is written
in two parts. What it runs and writes is printed, one line each.
"""

import asyncio
import sys

EVENTS = 10
PAUSE_SECONDS = 0.05


def event_parts(request_id, number):
    """Return an event in two parts."""
    text = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
    return text[:14], text[14:]


def whole_stream(request_id):
    """Return all events of a stream."""
    return b"".join(part for n in range(EVENTS) for part in event_parts(request_id, n))


async def _handle(engine, reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            pairs = (line.split(":", 1) for line in head[1:] if line)
            headers = {name.strip().lower(): value.strip() for name, value in pairs}
            await reader.readexactly(int(headers.get("content-length", "0")))
            request_id = headers.get("pimentoquay-request-id", "")
            if headers.get("pimentoquay-expect-instance", engine) != engine:
                writer.write(
                    b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                    + f"Pimentoquay-Request-Id: {request_id}\r\n".encode()
                    + f"Pimentoquay-Instance-Id: {engine}\r\n\r\n".encode()
                )
                continue
            print("runs", request_id, flush=True)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                + f"Pimentoquay-Request-Id: {request_id}\r\n".encode()
                + f"Pimentoquay-Server-Stamp: stamp-{engine}\r\n\r\n".encode()
            )
            for number in range(EVENTS):
                for part in event_parts(request_id, number):
                    writer.write(part)
                    await writer.drain()
                    print("writes", request_id, number, len(part), flush=True)
                    await asyncio.sleep(PAUSE_SECONDS / 2)
            print("ends", request_id, flush=True)
            writer.close()
            return
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def main():
    """Serve until killed."""
    engine, host = sys.argv[1:3]
    server = await asyncio.start_server(lambda r, w: _handle(engine, r, w), host, 0)
    print("listens", server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
