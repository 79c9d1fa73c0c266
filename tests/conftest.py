"""Fixtures of the tests that run the sender on sockets, and the handling of known failures."""

import os
from collections.abc import Iterator
from pathlib import Path

import pytest
from gevent import socket
from support.known_failures import mark_known_failures, read_known_failures
from support.sender_harness import SenderHarness, free_address


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    mark_known_failures(items)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for failure in read_known_failures():
        terminalreporter.write_line(
            f"known to fail: {failure.subject}: {failure.cause} (issue {failure.issue})"
        )


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[SenderHarness]:
    made = SenderHarness(tmp_path)
    yield made
    made.stop()


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[tuple[SenderHarness, SenderHarness]]:
    """Two processes of one sender on one listening socket; the second is not started yet."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    os.set_inheritable(listener.fileno(), True)
    old = SenderHarness(tmp_path, inherited=listener)
    new = SenderHarness.__new__(SenderHarness)
    new.__dict__.update(old.__dict__)
    new.control_address, new.process = free_address(), None
    try:
        old.start()
        yield old, new
    finally:  # a failed test must not leave a sender running
        for process in (new.process, old.process):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        old.process = None
        old.stop()
        listener.close()
