"""What stands in for a part's logger."""

from __future__ import annotations

from typing import cast

from ashpath.server.logs import Logger


class RecordingLogger:
    """Keeps the events, of whatever level, in their order."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def error(self, event: str, **_: object) -> None:
        self.events.append(event)

    debug = info = warning = exception = error

    @property
    def logger(self) -> Logger:
        """For a part that wants the whole interface."""
        return cast(Logger, self)


class _ErrorRaisingLogger:
    def error(self, event: str, **details: object) -> None:
        raise AssertionError((event, details))


def error_raising_logger() -> Logger:
    """One that refuses errors: stored data that cannot be read is logged as one."""
    return cast(Logger, _ErrorRaisingLogger())
