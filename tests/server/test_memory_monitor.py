"""The monitor of the resident size."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from ashpath.server import memory_monitor
from ashpath.server.memory_monitor import MemoryMonitor, MemoryUse
from ashpath.server.process_memory import peak_resident_bytes, resident_bytes

USE = MemoryUse(connections="reading:2", buffered_bytes=7, messages=1, message_bytes=9)


def test_size_near_limit_is_logged_once_per_share_with_its_holders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that is killed for its memory while no line tells what held it."""
    logger = Mock()
    monitor = MemoryMonitor(1000, 0.1, lambda: USE, logger)
    sizes = [400, 510, 510, 800, 700, 800, 480, 430, 510]
    for size in sizes:
        monkeypatch.setattr(memory_monitor, "resident_bytes", lambda size=size: size)
        monitor.measure()
    assert [call.kwargs["bytes"] for call in logger.warning.call_args_list] == [510, 800, 510]
    assert logger.warning.call_args.kwargs["connections"] == "reading:2"
    assert logger.warning.call_args.kwargs["buffered"] == 7


def test_resident_size_of_this_process_is_known() -> None:
    assert 1 << 20 < resident_bytes() <= peak_resident_bytes() + (1 << 20)
