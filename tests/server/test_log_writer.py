"""Writing of log lines to a descriptor that may block, close or be absent."""

from __future__ import annotations

import os
from collections.abc import Iterator
from unittest.mock import Mock

import gevent
import pytest
from support.sender_harness import wait_until

from ashpath.server.log_writer import MAX_PENDING_BYTES, LogWriter


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """The non-blocking read end and the write end of a pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def read_available(reader: int) -> None:
    try:
        os.read(reader, 1 << 20)
    except BlockingIOError:
        gevent.sleep(0.01)


def fill(writer: LogWriter) -> None:
    """Writes twice the bytes that may be pending."""
    for _ in range(2 * MAX_PENDING_BYTES // 1000):
        writer.msg("y" * 999)


def test_pending_lines_are_bounded_without_a_reader(pipe: tuple[int, int]) -> None:
    writer = LogWriter(pipe[1])
    fill(writer)
    assert writer.dropped
    assert writer.pending_bytes <= MAX_PENDING_BYTES


def test_dropped_lines_are_counted_after_the_reader_resumes(pipe: tuple[int, int]) -> None:
    writer, logger = LogWriter(pipe[1]), Mock()
    fill(writer)
    greenlet = gevent.spawn(writer.run, logger)
    dropped = writer.dropped
    while not logger.warning.called:
        read_available(pipe[0])
    logger.warning.assert_called_once_with("log lines dropped", count=dropped)
    assert not writer.pending
    greenlet.kill()


def test_writer_stops_after_the_reader_closed() -> None:
    reader, writer_descriptor = os.pipe()
    writer = LogWriter(writer_descriptor)
    os.close(reader)
    writer.msg("nobody")
    assert writer.output is None
    assert not writer.pending
    os.close(writer_descriptor)


@pytest.mark.parametrize("closed", [True, False], ids=["closed", "none"])
def test_lines_are_discarded_without_an_open_descriptor(closed: bool) -> None:
    descriptor = None
    if closed:
        reader, descriptor = os.pipe()
        os.close(reader)
        os.close(descriptor)
    writer = LogWriter(descriptor)
    writer.msg("nowhere")
    assert not writer.pending


def test_line_longer_than_one_write_is_complete(pipe: tuple[int, int]) -> None:
    writer = LogWriter(pipe[1])
    writer.msg("z" * 9999)
    wait_until(writer.flush)
    assert os.read(pipe[0], 1 << 20) == b"z" * 9999 + b"\n"
