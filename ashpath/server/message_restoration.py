"""Gives the policy the messages that a previous incarnation, or a process that is gone, left unfinished."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from ashpath.core.interface import PreviousAttempts
from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import now, stored_time

LONG_AGO_US = 10**15  # past any window


class RestoredMessage(Struct, frozen=True):
    """A message with what is known of its attempts."""

    message: StoredMessage
    time_left: int
    """Microseconds to its deadline; negative when it has passed."""
    previous: PreviousAttempts

    def report(self, policy: DeliveryPolicy) -> None:
        """Reports it to the policy, within a batch."""
        message = self.message
        policy.restore(
            message.message_id,
            message.destination,
            message.traffic_class,
            message.ordering_key,
            self.time_left,
            self.previous,
        )


class MessageRestorer:
    """Reads stored messages: those that are over only have to be notified of."""

    def __init__(self, write_ahead_log: WriteAheadLog, notifier: Notifier) -> None:
        self.write_ahead_log = write_ahead_log
        self.notifier = notifier

    def restore(
        self, stored: Sequence[StoredMessage], messages: dict[int, StoredMessage]
    ) -> list[RestoredMessage]:
        """Those that the policy has to finish, which `messages` gets too, in the order accepted."""
        restored = []
        for message in stored:
            if message.finished:
                self.notifier.add(message)
                continue
            previous = self._previous_attempts(message)
            messages[message.message_id] = message
            restored.append(RestoredMessage(message, message.deadline - stored_time(), previous))
        return restored

    def _previous_attempts(self, message: StoredMessage) -> PreviousAttempts:
        """An attempt that was in flight has no outcome any more: it may have run, and is recorded so."""
        unresolved = message.in_flight_since is not None
        if unresolved:
            self.write_ahead_log.record_outcome(message, may_have_run=True)
        first_run_at = None
        if message.first_run_at is not None:
            elapsed = stored_time() - message.first_run_at
            # In the future only on a boot with an earlier wall clock: how long ago it was nobody knows, and a
            # window that may be over is.
            first_run_at = now() - (elapsed if elapsed >= 0 else LONG_AGO_US)
        return PreviousAttempts(message.attempts, first_run_at, message.first_run_endpoint, unresolved)
