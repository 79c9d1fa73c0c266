"""Test doubles of loggers."""

from __future__ import annotations

from typing import cast

from ashpath.server.logs import Logger


class RecordingLogger:
    """Records the events of all levels in their order."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def error(self, event: str, **_: object) -> None:
        self.events.append(event)

    debug = info = warning = exception = error

    @property
    def logger(self) -> Logger:
        """The same object, typed as the logger that the server's modules expect."""
        return cast(Logger, self)


class _ErrorRaisingLogger:
    def error(self, event: str, **details: object) -> None:
        raise AssertionError((event, details))


def error_raising_logger() -> Logger:
    """Returns a logger that raises AssertionError for an error; unreadable stored data is logged as one."""
    return cast(Logger, _ErrorRaisingLogger())
