"""Fixtures of the tests of commands."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from support.standalone import StandaloneSender


@pytest.fixture
def alone(tmp_path: Path) -> Iterator[StandaloneSender]:
    """A standalone sender that the test starts; its destinations are stand-ins that already run."""
    sender = StandaloneSender(tmp_path)
    yield sender
    sender.stop()


@pytest.fixture
def url(alone: StandaloneSender) -> str:
    """The URL at which the sender listens once it is started."""
    return f"http://127.0.0.1:{alone.address[1]}"
