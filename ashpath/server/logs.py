"""The sender's log: structlog, in one of three output formats, through a writer that never blocks
(`log_writer`).

Bodies, keys and secrets are never logged. docs/log-lines.md lists the events.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable

from ashpath.server.log_writer import LogWriter

# If rich is installed, structlog imports it to format tracebacks, which are plain text in this log. The
# import would cost 50 ms and 3 MB at each start.
imported_rich = sys.modules.setdefault("rich", None)  # type: ignore[arg-type]  # with None an import fails
import structlog  # noqa: E402  # after rich is hidden

if imported_rich is None:
    del sys.modules["rich"]

Logger = structlog.typing.FilteringBoundLogger  # the type of the loggers of all parts

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
FIRST_KEYS = ["timestamp", "level", "sender", "event"]  # of a logfmt line, in this order
RENDERERS: dict[str, Callable[[], structlog.typing.Processor]] = {
    "logfmt": lambda: structlog.processors.LogfmtRenderer(key_order=FIRST_KEYS),
    "json": lambda: structlog.processors.JSONRenderer(default=str),
    "console": lambda: structlog.dev.ConsoleRenderer(colors=False),
}


class LogFormat:
    """The minimum level (of `LEVELS`) and the format (of `RENDERERS`) of the lines. Both may change in a
    running sender.

    An instance is the last of structlog's processors; its method `filter_by_level` is the first."""

    def __init__(self, level: str = "info", form: str = "logfmt") -> None:
        self.configure(level, form)

    def configure(self, level: str, form: str) -> None:
        """Sets the minimum level and the format of all further lines."""
        self.min_level = LEVELS[level]
        self.renderer = RENDERERS[form]()

    def filter_by_level(
        self, _: structlog.typing.WrappedLogger, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """A structlog processor. Raises DropEvent if the level is below the minimum."""
        if LEVELS.get(method, logging.ERROR) < self.min_level:
            raise structlog.DropEvent
        return event

    def __call__(
        self, logger: structlog.typing.WrappedLogger, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.ProcessorReturnValue:
        """A structlog processor that renders the line. A value that cannot be rendered must not raise an
        error in the code that logs it."""
        try:
            return self.renderer(logger, method, event)
        except Exception as error:
            return f"event={event.get('event')!r} not_rendered={error!r}"


def create_logger(sender_name: str, log_format: LogFormat) -> tuple[Logger, LogWriter]:
    """Creates the sender's logger, which writes to standard output, and the writer of its lines. The caller
    spawns the writer's `run`."""
    writer = LogWriter(standard_output())
    structlog.configure(
        processors=[
            log_format.filter_by_level,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            log_format,
        ],
        logger_factory=lambda *_: writer,
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),  # `log_format` has the level
    )
    return structlog.get_logger().bind(sender=sender_name), writer


def standard_output() -> int | None:
    """Returns the descriptor of standard output, or None if it is closed."""
    try:
        return None if sys.stdout is None else sys.stdout.fileno()
    except (OSError, ValueError):
        return None
