"""Fixtures shared by the tests of the sender on sockets."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from support.world import World


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.stop()
