"""Exponential backoff with jitter between tries of a failed call. The computation has no I/O.

Service discovery and notifications use it. If all senders are killed together, their calls fail at the same
moment after the restart; with a fixed pause they would try again together, repeatedly, and all be rejected.
The pause therefore doubles with each failure in a row, from `min_s` to `max_s`, and the share `jitter` of
each pause is random.

A Retry-After is honored up to two thirds of `max_retry_after_s`. The pause is then random between that value
and `max_retry_after_s`, as all senders may have received the same Retry-After.

>>> from random import Random
>>> backoff = Backoff(Random(1), min_s=0.1, max_s=0.8)
>>> [round(backoff.next_pause(), 3) for _ in range(5)]
[0.057, 0.185, 0.353, 0.502, 0.598]
>>> backoff.reset()
>>> [round(backoff.next_pause(retry_after_s), 3) for retry_after_s in (2.0, 2.0, 60.0)]
[3.629, 2.235, 4.254]
"""

from __future__ import annotations

from random import Random

DEFAULT_JITTER = 0.5  # the random share of a pause
DEFAULT_MAX_RETRY_AFTER_S = 4.5
MAX_COUNTED_FAILURES = 32  # keeps the doubled pause within the range of a float


class Backoff:
    """Computes the pauses of one caller. `jitter` is the random share of each pause."""

    def __init__(
        self,
        random: Random,
        min_s: float,
        max_s: float,
        max_retry_after_s: float = DEFAULT_MAX_RETRY_AFTER_S,
        jitter: float = DEFAULT_JITTER,
    ) -> None:
        self.random = random
        self.min_s = min_s
        self.max_s = max_s
        self.max_retry_after_s = max_retry_after_s
        self.max_honored_retry_after_s = max_retry_after_s * 2 / 3
        self.jitter = jitter
        self.failures = 0  # in a row

    def next_pause(self, retry_after_s: float | None = None) -> float:
        """Counts one more failure, and returns the seconds to pause before the next try."""
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        longest = min(self.max_s, self.min_s * 2.0 ** (self.failures - 1))
        pause = longest * (1 - self.jitter * (1 - self.random.random()))
        if retry_after_s:
            shortest = min(retry_after_s, self.max_honored_retry_after_s)
            drawn = shortest + (self.max_retry_after_s - shortest) * self.random.random()
            pause = max(pause, drawn)
        return pause

    def reset(self) -> None:
        """Clears the count of failures after a try that succeeded."""
        self.failures = 0
