"""What an attempt waits for before it takes a connection: what was sent before it is certain.

| wait until | errors that end the attempt |
| --- | --- |
| the response to the attempt before, of the same message, is certain | `EarlierResponseInDoubtError` |
| earlier messages with the same ordering key have ended for certain | `PendingNotificationError` |
"""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent import Timeout

from ashpath.core.time_units import SECOND
from ashpath.server.delivery.attempts import Attempt
from ashpath.server.delivery.errors import EarlierResponseInDoubtError, PendingNotificationError
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.delivery.response_attribution import ResponseAttribution
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import now

PREDECESSOR_POLL_S = 0.02
NOTIFICATION_SHARE = 0.5  # share of an attempt's time for the wait for notifications


class PredecessorSource(Protocol):
    """Knows which messages the other process of a hot upgrade has: `storage/predecessors.py`."""

    def has_unfinished(self, message: StoredMessage) -> bool:
        """Whether an earlier message of the same ordering key has not ended."""

    def rest_left(self, message: StoredMessage, settle_s: float) -> float:
        """Returns the seconds for which the key rests after an attempt of the other process."""


class EarlierMessages:
    """Waits, in the attempt's own greenlet."""

    def __init__(
        self, attribution: ResponseAttribution, predecessors: PredecessorSource, notifier: Notifier
    ) -> None:
        self.attribution = attribution
        self.predecessors = predecessors
        self.notifier = notifier

    def wait(self, attempt: Attempt) -> None:
        """Returns once the attempt may take a connection. Raises an AttemptError if it must not be sent."""
        self._await_earlier_response(attempt)
        if attempt.ordered:
            self._await_predecessors(attempt)
            self._await_notifications(attempt)

    def _await_earlier_response(self, attempt: Attempt) -> None:
        """Waits until the refusal or error of the attempt before this one is certain.

        The retry would otherwise run beside it if that response was another request's. Raises
        EarlierResponseInDoubtError if it turns out to be in doubt."""
        wait = self.attribution.wait_before_retry(attempt.message)
        if wait > 0:
            gevent.sleep(wait / SECOND)
        if self.attribution.take_doubt(attempt.message):
            raise EarlierResponseInDoubtError

    def _await_predecessors(self, attempt: Attempt) -> None:
        """Waits until the delivery of the earlier messages of the ordering key is certain, until the other
        process of a hot upgrade has ended those that it accepted before, and until the key has settled
        after its last attempt there.

        Raises PendingNotificationError after half of the attempt's time."""
        time_left = max(0.0, (attempt.deadline - now()) * NOTIFICATION_SHARE)
        wait = self.attribution.wait_before_next(attempt.message)
        if wait > 0:
            gevent.sleep(min(wait, time_left) / SECOND)
        with Timeout(time_left / SECOND, PendingNotificationError()):
            while self.predecessors.has_unfinished(attempt.message):
                gevent.sleep(PREDECESSOR_POLL_S)
            gevent.sleep(self.predecessors.rest_left(attempt.message, attempt.settle_time / SECOND))

    def _await_notifications(self, attempt: Attempt) -> None:
        """Waits until no notification of the message's ordering key is pending.

        A client that learns of final states by notification regards an earlier message as unfinished until
        its notification arrives; to send a later message before that would break the order. Raises
        PendingNotificationError after half of the attempt's time."""
        time_left = max(0.0, (attempt.deadline - now()) * NOTIFICATION_SHARE / SECOND)
        with Timeout(time_left, PendingNotificationError()):
            while acknowledged := self.notifier.next_acknowledgement(attempt.message):
                acknowledged.wait()
