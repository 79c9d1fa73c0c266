"""Shares the event loop between clients that have had no message accepted and all other work.

A crowd whose connections are readable all the time would otherwise take one turn each in every iteration of
the loop, and whoever is served beside it would wait for all of them.
"""

from __future__ import annotations

from collections import deque
from time import monotonic

from gevent import get_hub
from gevent.hub import Waiter


class TurnQueue:
    """Greenlets that wait for a turn, the one that waits longest first.

    In each iteration of the event loop they get turns for `slice_s` seconds together, and at least one. A
    turn ends where its greenlet waits next.
    """

    def __init__(self, slice_s: float) -> None:
        self.slice_s = slice_s
        self.longest_slice_s = 0.0
        self._waiters: deque[Waiter[None]] = deque()
        # A timer fires once in an iteration of the loop; callbacks would run repeatedly before other events.
        self._timer = get_hub().loop.timer(0)
        self._scheduled = False

    def wait(self) -> None:
        """Waits for the calling greenlet's turn."""
        waiter: Waiter[None] = Waiter()
        self._waiters.append(waiter)
        self._schedule()
        waiter.get()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._timer.start(self._run_slice)

    def _run_slice(self) -> None:
        """Runs in the hub, once in an iteration of the loop."""
        self._scheduled = False
        began = monotonic()
        elapsed_s = 0.0
        while self._waiters:
            self._waiters.popleft().switch(None)  # does nothing if the greenlet does not wait any more
            elapsed_s = monotonic() - began
            if elapsed_s >= self.slice_s:
                break
        self.longest_slice_s = max(self.longest_slice_s, elapsed_s)
        if self._waiters:
            self._schedule()
