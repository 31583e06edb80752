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


def test_a_reader_that_does_not_read_delays_nothing_and_lost_lines_are_told(pipe):
    reader, writer = pipe
    stream = LogStream(writer)
    line = "x" * 999 + "\n"
    for _ in range(3000):
        stream.write(line)
    lost = stream.lost
    assert 0 < lost < 3000
    received = ""
    for _ in range(100):
        received += read_all(reader)
        stream.write("last\n")
    whole = [each for each in received.splitlines() if each not in (line[:-1], "last")]
    assert whole == [f'{{"message": "log lines lost", "lines": "{lost}"}}']
    assert received.count(line) == 3000 - lost >= MAX_PENDING_BYTES // 1000 - 1


def test_a_reader_that_has_gone_is_no_error(pipe):
    reader, writer = pipe
    stream = LogStream(writer)
    os.close(reader)
    stream.write("one\n")
    assert stream.lost == 1
