"""Ordering keys that rest after an attempt of another process that may still run.

No message of a key is sent for a settle time after such an attempt of another message has ended. The log of
the other process tells that it has ended, and not when: the time counts from the read, which is no earlier.
"""

from __future__ import annotations

from time import monotonic

from msgspec import Struct

MAX_REST_S = 60.0  # longer than any settle time; older ends are forgotten
FORGET_INTERVAL_S = 1.0


class UncertainEnd(Struct, frozen=True):
    """The end of an attempt that may still run."""

    trace_id: str
    """The message of the attempt, whose own retry does not wait."""
    seen_at: float
    """Seconds of the monotonic clock."""


class KeyRests:
    """The latest uncertain end of each ordering key, as far as it was seen within `MAX_REST_S`."""

    def __init__(self) -> None:
        self._ends: dict[int, UncertainEnd] = {}
        self._forgot_at = 0.0

    def attempt_ended(self, ordering_key: int, trace_id: str) -> None:
        """Notes that an attempt has ended which may still run."""
        time = monotonic()
        self._ends[ordering_key] = UncertainEnd(trace_id, time)
        if time - self._forgot_at > FORGET_INTERVAL_S:
            self._forgot_at = time
            self._ends = {key: end for key, end in self._ends.items() if time - end.seen_at < MAX_REST_S}

    def time_left(self, ordering_key: int, trace_id: str, settle_s: float) -> float:
        """Returns the seconds for which a message of the key has still to wait; 0 if it need not."""
        end = self._ends.get(ordering_key)
        if end is None or end.trace_id == trace_id:
            return 0.0
        return max(0.0, end.seen_at + settle_s - monotonic())
