"""The lease on the endpoint list: by when it has to be read anew, whatever polls meet until then.

A change counts as received a fixed time after the agent had it and could be reached, however many polls
failed on the way and however each of them failed. So one deadline, counted from the last list that was read,
bounds polls and pauses together; limits for each failure alone would add up.

| event | the lease |
| --- | --- |
| a list was read | runs from that moment |
| the agent moved | runs from that moment, for a shorter time |
| a poll failed before its end | runs on: pauses share what is left |
| a poll failed after its end | runs anew: an agent that is silent may come back at any time |

A rejection past the end does not begin it anew. An agent that has rejected through a whole lease has more
polls than it can answer, and ever shorter pauses would keep it so.
"""

from __future__ import annotations

PAUSE_SHARE = 0.5  # of what is left: a pause leaves room for one more failure behind it
LAST_POLL_RESERVE_S = 0.3  # kept back for the poll behind the last pause
MIN_PAUSE_S = 0.05


class ListLease:
    """Times are seconds of the monotonic clock; `length_s` is how long a list may serve unread."""

    def __init__(self, now: float, length_s: float) -> None:
        self.length_s = length_s
        self.expires_at = now + length_s
        self.rejections = 0  # since the list was read

    def renew(self, now: float) -> None:
        """A list was read."""
        self.expires_at = now + self.length_s
        self.rejections = 0

    def shorten(self, now: float, length_s: float) -> None:
        """The agent moved: what the new one has is to be read within `length_s`."""
        self.expires_at = min(self.expires_at, now + length_s) if self.remaining(now) > 0 else now + length_s
        self.rejections = 0

    def remaining(self, now: float) -> float:
        """Seconds to its end; negative once it is over."""
        return self.expires_at - now

    def pause_after_silence(self, now: float, backoff_s: float) -> float:
        """Of the pause that a backoff drew after silence, what the lease allows."""
        if self.remaining(now) <= 0:
            self.expires_at = now + self.length_s
        return min(backoff_s, max(MIN_PAUSE_S, self.remaining(now) * PAUSE_SHARE))

    def pause_after_rejection(self, now: float, backoff_s: float, jitter_share: float) -> float:
        """Returns the pause after a rejection: `backoff_s`, as far as the lease allows.

        `jitter_share`: random share of the longest pause, as all senders of a fleet may have been rejected at
        the same time."""
        self.rejections += 1
        remaining = self.remaining(now) - LAST_POLL_RESERVE_S
        if remaining <= 0:
            return backoff_s
        longest = remaining * PAUSE_SHARE if self.rejections == 1 else remaining
        return min(backoff_s, max(MIN_PAUSE_S, longest * jitter_share))
