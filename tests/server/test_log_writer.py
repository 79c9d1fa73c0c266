"""Log lines on their way out."""

from __future__ import annotations

import os
from collections.abc import Iterator
from unittest.mock import Mock

import gevent
import pytest
from support.world import wait_until

from ashpath.server.log_writer import MAX_PENDING_BYTES, LogWriter


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """The reader's end, which does not block, and the writer's."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def read_some(reader: int) -> None:
    try:
        os.read(reader, 1 << 20)
    except BlockingIOError:
        gevent.sleep(0.01)


def fill(writer: LogWriter) -> None:
    """More lines than may wait."""
    for _ in range(2 * MAX_PENDING_BYTES // 1000):
        writer.msg("y" * 999)


def test_lines_wait_for_a_reader_up_to_a_bound(pipe: tuple[int, int]) -> None:
    writer = LogWriter(pipe[1])
    fill(writer)
    assert writer.dropped
    assert writer.pending_bytes <= MAX_PENDING_BYTES


def test_dropped_lines_are_counted_once_the_reader_reads(pipe: tuple[int, int]) -> None:
    writer, logger = LogWriter(pipe[1]), Mock()
    fill(writer)
    running = gevent.spawn(writer.run, logger)
    dropped = writer.dropped
    while not logger.warning.called:
        read_some(pipe[0])
    logger.warning.assert_called_once_with("log lines dropped", count=dropped)
    assert not writer.pending
    running.kill()


def test_a_reader_that_is_gone_is_written_to_no_more() -> None:
    reader, into = os.pipe()
    writer = LogWriter(into)
    os.close(reader)
    writer.msg("nobody")
    assert writer.output is None
    assert not writer.pending
    os.close(into)


@pytest.mark.parametrize("closed", [True, False], ids=["closed", "none"])
def test_without_a_descriptor_lines_go_nowhere(closed: bool) -> None:
    descriptor = None
    if closed:
        reader, descriptor = os.pipe()
        os.close(reader)
        os.close(descriptor)
    writer = LogWriter(descriptor)
    writer.msg("nowhere")
    assert not writer.pending


def test_a_line_longer_than_a_piece_is_whole(pipe: tuple[int, int]) -> None:
    writer = LogWriter(pipe[1])
    writer.msg("z" * 9999)
    wait_until(writer.flush)
    assert os.read(pipe[0], 1 << 20) == b"z" * 9999 + b"\n"
