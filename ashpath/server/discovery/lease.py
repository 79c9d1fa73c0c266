"""The lease on the endpoint list: the deadline by which the list must be read again, despite failed polls.

A change of the endpoint list counts as received a fixed time after the agent had the change and was
reachable, for any number and kinds of failed polls in between. Therefore one deadline, counted from the last
list that was read, bounds polls and pauses together; separate limits for each failure would add up.

| event | effect on the lease |
| --- | --- |
| a list was read | starts from that moment |
| the agent moved | starts from that moment, with a shorter length |
| a poll failed before the lease expired | continues: pauses share the remaining time |
| a poll failed after the lease expired | starts anew: a silent agent may return at any time |

A rejection after the lease expired does not start a new lease. An agent that has rejected polls for a whole
lease receives more of them than it can answer, and ever shorter pauses would keep it overloaded.
"""

from __future__ import annotations

PAUSE_SHARE = 0.5  # of the remaining time: leaves time for one more failure
LAST_POLL_RESERVE_S = 0.3  # reserved for the poll after the last pause
MIN_PAUSE_S = 0.05


class ListLease:
    """The lease. Times are seconds of the monotonic clock; one list may be used for `length_s`."""

    def __init__(self, now: float, length_s: float) -> None:
        self.length_s = length_s
        self.expires_at = now + length_s
        self.rejections = 0  # since a list was last read

    def renew(self, now: float) -> None:
        """Starts the lease anew, as a list was read."""
        self.expires_at = now + self.length_s
        self.rejections = 0

    def shorten(self, now: float, length_s: float) -> None:
        """Shortens the lease after a change of address: the new agent's list must be read within
        `length_s`. An expired lease starts anew with this length."""
        self.expires_at = min(self.expires_at, now + length_s) if self.remaining(now) > 0 else now + length_s
        self.rejections = 0

    def remaining(self, now: float) -> float:
        """Returns the seconds until the lease expires; negative after that."""
        return self.expires_at - now

    def pause_after_silence(self, now: float, backoff_s: float) -> float:
        """Returns the pause after a failure other than a rejection: `backoff_s`, as far as the lease allows.

        Starts the lease anew if it has expired."""
        if self.remaining(now) <= 0:
            self.expires_at = now + self.length_s
        return min(backoff_s, max(MIN_PAUSE_S, self.remaining(now) * PAUSE_SHARE))

    def pause_after_rejection(self, now: float, backoff_s: float, jitter_share: float) -> float:
        """Returns the pause after a rejection: `backoff_s`, as far as the lease allows.

        `jitter_share` is a random factor of the longest pause: all senders of a fleet may have been rejected
        at the same time, and must not poll again together."""
        self.rejections += 1
        remaining = self.remaining(now) - LAST_POLL_RESERVE_S
        if remaining <= 0:
            return backoff_s
        longest = remaining * PAUSE_SHARE if self.rejections == 1 else remaining
        return min(backoff_s, max(MIN_PAUSE_S, longest * jitter_share))
