import os

import pytest

from pimentoquay.kernel.log_stream import MAX_PENDING_BYTES, LogStream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def read_all(reader):
    parts = []
    try:
        while part := os.read(reader, 65536):
            parts.append(part)
    except BlockingIOError:
        pass
    return b"".join(parts).decode()


def test_full_pipe_does_not_block_and_lost_lines_are_reported(pipe):
    reader, writer = pipe
    stream = LogStream(writer)
    line = "x" * 999 + "\n"
    for _ in range(3000):
        stream.write(line)
    lost_lines = stream.lost_lines
    assert 0 < lost_lines < 3000
    received = ""
    for _ in range(100):
        received += read_all(reader)
        stream.write("last\n")
    reports = [
        line_read for line_read in received.splitlines() if line_read not in (line[:-1], "last")
    ]
    assert reports == [f'{{"message": "log lines lost", "lines": "{lost_lines}"}}']
    assert received.count(line) == 3000 - lost_lines >= MAX_PENDING_BYTES // 1000 - 1


def test_closed_pipe_is_no_error(pipe):
    reader, writer = pipe
    stream = LogStream(writer)
    os.close(reader)
    stream.write("one\n")
    assert stream.lost_lines == 1
