"""Decides to which request a response belongs, where only its place on a connection says so.

HTTP/1.1 gives a response no name: it belongs to the request that is out on its connection. A response that
comes a second time, or late, thus counts for the next request, and shifts all that follow. Three rules guard
against that:

| rule | guards against |
| --- | --- |
| a connection carries its next request only after a quiet time | extra responses that come within that time |
| the result of a response is provisional if the response before it came less than the lateness ago | later |
| | extra responses, of which the connection then shows one too many |
| after an extra response, each connection carries one request, for a limited time | the next ones |

An extra response proves that one of the provisional results of its connection is wrong, but not which one:
all of them are in doubt then, and their requests may have run.

The source (ADR 0122) has one connection a call, and needs no such rule. Times are microseconds.
"""

from __future__ import annotations

from ashpath.core.statistics import RunningStatistics
from ashpath.policy import tuning

RESPONSE_START = b"HTTP/"


def may_be_response(data: bytes) -> bool:
    """Returns whether unexpected bytes may be the beginning of a response to some request.

    >>> [may_be_response(data) for data in (b"HTTP/1.1 200", b"HT", b"?", b"")]
    [True, True, False, False]
    """
    return bool(data) and RESPONSE_START.startswith(data[: len(RESPONSE_START)])


class ResponseTrust:
    """The trust of one sender in the connections to all its endpoints."""

    def __init__(self) -> None:
        self.response_times = RunningStatistics(tuning.SMOOTHING_GAIN)
        self.distrusted_until = 0
        self.distrust_time = tuning.INITIAL_DISTRUST_TIME

    def is_distrusted(self, now: int) -> bool:
        """Returns whether each connection carries a single request."""
        return now < self.distrusted_until

    def wait_before_reuse(self, now: int, idle: int) -> int | None:
        """Returns how long a connection that has been idle for `idle` must stay so before its next request,
        or None if it must not carry a further one."""
        return None if self.is_distrusted(now) else max(0, tuning.QUIET_TIME - idle)

    def is_provisional(self, idle_before: int | None) -> bool:
        """Returns whether a result may be that of the request before it on the connection, which was idle in
        between for `idle_before`; None: there was none."""
        return idle_before is not None and idle_before < tuning.RESPONSE_LATENESS

    @staticmethod
    def is_certain(idle: int) -> bool:
        """Returns whether a connection that was idle for so long may carry a request whose result must not be
        provisional. A new connection may always."""
        return idle >= tuning.RESPONSE_LATENESS

    @staticmethod
    def listening_time(answered_for: int | None) -> int:
        """Returns for how long to listen to a connection that carries no further request.

        `answered_for`: the time since the response to its last request, None if that has none yet. What comes
        is no outcome, but it may say how long the destination asks not to be called."""
        if answered_for is None:
            return tuning.RESERVATION_TIME  # the call may run for as long
        return max(0, tuning.RESPONSE_LATENESS - answered_for)

    def hold_time(self, response_time: int) -> int:
        """Returns for how long a provisional result other than a delivery is withheld.

        By then nearly every response has come to a request that has been out for `response_time` already."""
        times = self.response_times
        slowest = times.mean + tuning.DURATION_DEVIATIONS * times.deviation
        return min(tuning.MAX_HOLD_TIME, max(tuning.QUIET_TIME, round(slowest) - response_time))

    def response_received(self, response_time: int) -> None:
        """Learns how long responses take."""
        self.response_times.add(response_time)

    def extra_response_received(self, now: int) -> None:
        """Distrusts all connections: for twice as long as before if that was recent."""
        if now < self.distrusted_until:
            return
        is_recent = now - self.distrusted_until < tuning.MAX_DISTRUST_TIME and self.distrusted_until
        longer = min(2 * self.distrust_time, tuning.MAX_DISTRUST_TIME)
        self.distrust_time = longer if is_recent else tuning.INITIAL_DISTRUST_TIME
        self.distrusted_until = now + self.distrust_time
