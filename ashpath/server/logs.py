"""The sender's log: structlog, in one of three forms, through a writer that never waits (`log_writer`).

Nothing of a body, a key or a secret is handed to it. docs/log-lines.md lists the events.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable

from ashpath.server.log_writer import LogWriter

# Where rich is installed structlog loads it, for tracebacks not drawn here: 50 ms and 3 MB of a start.
imported_rich = sys.modules.setdefault("rich", None)  # type: ignore[arg-type]  # None: an import of it fails
import structlog  # noqa: E402  # behind the line that hides rich from it

if imported_rich is None:
    del sys.modules["rich"]

Logger = structlog.typing.FilteringBoundLogger  # the type of every logger that is handed to a part

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
FIRST_KEYS = ["timestamp", "level", "sender", "event"]  # of a line in logfmt, in this order
RENDERERS: dict[str, Callable[[], structlog.typing.Processor]] = {
    "logfmt": lambda: structlog.processors.LogfmtRenderer(key_order=FIRST_KEYS),
    "json": lambda: structlog.processors.JSONRenderer(default=str),
    "console": lambda: structlog.dev.ConsoleRenderer(colors=False),
}


class LogFormat:
    """Level and form of the lines, of `LEVELS` and `RENDERERS`; both may change in a running sender.

    It is the last of structlog's processors, and `filter_by_level` the first."""

    def __init__(self, level: str = "info", form: str = "logfmt") -> None:
        self.configure(level, form)

    def configure(self, level: str, form: str) -> None:
        """Lines have that level at least, and that form, from now on."""
        self.min_level = LEVELS[level]
        self.renderer = RENDERERS[form]()

    def filter_by_level(
        self, _: structlog.typing.WrappedLogger, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """A structlog processor. Raises DropEvent where the level is too low."""
        if LEVELS.get(method, logging.ERROR) < self.min_level:
            raise structlog.DropEvent
        return event

    def __call__(
        self, logger: structlog.typing.WrappedLogger, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.ProcessorReturnValue:
        """A structlog processor: the line. A value that cannot be written must not end what logged it."""
        try:
            return self.renderer(logger, method, event)
        except Exception as error:
            return f"event={event.get('event')!r} not_rendered={error!r}"


def create_logger(sender_name: str, log_format: LogFormat) -> tuple[Logger, LogWriter]:
    """The sender's log on standard output, and what writes its lines: its `run` is to be spawned."""
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
    """Its descriptor; None where it is closed."""
    try:
        return None if sys.stdout is None else sys.stdout.fileno()
    except (OSError, ValueError):
        return None
