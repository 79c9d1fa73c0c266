"""A pause that another greenlet may interrupt."""

from __future__ import annotations

from gevent.event import Event


class InterruptiblePause:
    """A pause for one greenlet at a time."""

    def __init__(self) -> None:
        self.active = False  # a greenlet is in `sleep`
        # An event, as an exception raised in the sleeping greenlet just as the pause ends would surface in
        # whatever the greenlet does next.
        self._interrupted = Event()

    def sleep(self, seconds: float) -> None:
        """Returns after `seconds`, or earlier after a call of `interrupt`."""
        self._interrupted.clear()
        self.active = True
        self._interrupted.wait(seconds)
        self.active = False

    def interrupt(self) -> None:
        """Ends the pause in progress, if any, as soon as the sleeping greenlet runs again."""
        self._interrupted.set()
