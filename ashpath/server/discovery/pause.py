"""A pause that another greenlet may cut short."""

from __future__ import annotations

from contextlib import suppress

import gevent
from greenlet import greenlet

from ashpath.server.discovery.errors import AgentMovedError


class InterruptiblePause:
    """Used by one greenlet at a time."""

    def __init__(self) -> None:
        self.sleeper: greenlet | None = None  # the greenlet within the pause

    @property
    def active(self) -> bool:
        """Whether a greenlet is within the pause."""
        return self.sleeper is not None

    def sleep(self, seconds: float) -> None:
        """Returns after `seconds`, or after `interrupt`."""
        self.sleeper = gevent.getcurrent()
        with suppress(AgentMovedError):
            gevent.sleep(seconds)
        self.sleeper = None

    def interrupt(self) -> None:
        """Ends the pause, if there is one, at the sleeper's next switch."""
        if self.sleeper is not None:
            gevent.kill(self.sleeper, AgentMovedError)
