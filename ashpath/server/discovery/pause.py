"""A pause that another greenlet may cut short."""

from __future__ import annotations

from gevent.event import Event


class InterruptiblePause:
    """Used by one greenlet at a time."""

    def __init__(self) -> None:
        self.active = False  # a greenlet is within the pause
        # An event and no exception thrown into the sleeper: one thrown in the moment in which the pause ends
        # would come out of whatever the sleeper does next.
        self._interrupted = Event()

    def sleep(self, seconds: float) -> None:
        """Returns after `seconds`, or after `interrupt`."""
        self._interrupted.clear()
        self.active = True
        self._interrupted.wait(seconds)
        self.active = False

    def interrupt(self) -> None:
        """Ends the pause, if there is one, at the sleeper's next switch."""
        self._interrupted.set()
