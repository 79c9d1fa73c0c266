"""Restores to the policy the unfinished messages of a previous incarnation or of another process that
ended."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from msgspec import Struct

from ashpath.core.interface import PreviousAttempts
from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import now, stored_time

LONG_AGO_US = 10**15  # microseconds; longer than any deduplication window


class RestoredMessage(Struct, frozen=True):
    """A message, and what the write-ahead log has on its attempts."""

    message: StoredMessage
    time_left: int
    """Microseconds to the message's deadline; negative after the deadline."""
    previous: PreviousAttempts
    followers: frozenset[int]
    """Ids of the messages of its ordering key that were accepted later and that this process had before."""

    def report(self, policy: DeliveryPolicy) -> None:
        """Reports the message to the policy, within a batch."""
        message = self.message
        policy.restore(
            message.message_id,
            message.destination,
            message.traffic_class,
            message.ordering_key,
            self.time_left,
            self.previous,
            followers=self.followers,
        )


class MessageRestorer:
    """Restores stored messages. A finished message only has its notification outstanding."""

    def __init__(self, write_ahead_log: WriteAheadLog, notifier: Notifier) -> None:
        self.write_ahead_log = write_ahead_log
        self.notifier = notifier

    def restore(
        self, stored: Sequence[StoredMessage], messages: dict[int, StoredMessage]
    ) -> list[RestoredMessage]:
        """Returns the messages that the policy has to finish, in the order of acceptance, and adds them to
        `messages`.

        Finished messages go to the notifier."""
        restored = []
        by_key = messages_by_key(messages.values())
        for message in stored:
            if message.finished:
                self.notifier.add(message)
                continue
            previous = self._previous_attempts(message)
            messages[message.message_id] = message
            others = by_key.get(message.ordering_key, ())
            followers = frozenset(other.message_id for other in others if follows(other, message))
            time_left = message.deadline - stored_time()
            restored.append(RestoredMessage(message, time_left, previous, followers))
        return restored

    def _previous_attempts(self, message: StoredMessage) -> PreviousAttempts:
        """Returns what the policy has to know of earlier attempts.

        The outcome of an attempt that was in flight is lost: the attempt may have run, and is recorded as
        such."""
        unresolved = message.in_flight_since is not None
        if unresolved:
            self.write_ahead_log.record_outcome(message, may_have_run=True)
        first_run_at = None
        if message.first_run_at is not None:
            elapsed = stored_time() - message.first_run_at
            # A run lies in the future only if the machine booted with an earlier wall clock. The time since
            # that run is unknown then, and its deduplication window counts as over, as it may be.
            first_run_at = now() - (elapsed if elapsed >= 0 else LONG_AGO_US)
        return PreviousAttempts(message.attempts, first_run_at, message.first_run_endpoint, unresolved)


def messages_by_key(messages: Iterable[StoredMessage]) -> dict[int | None, list[StoredMessage]]:
    """Returns the messages that have an ordering key, by key."""
    by_key: dict[int | None, list[StoredMessage]] = defaultdict(list)
    for message in messages:
        if message.ordering_key is not None:
            by_key[message.ordering_key].append(message)
    return by_key


def follows(later: StoredMessage, message: StoredMessage) -> bool:
    """Whether `later`, which this process has, waits for a message that it adopts.

    An attempt that is out cannot wait: the adopted message then goes behind its message. So it is only where
    an earlier release accepted one of the two, whose ids do not tell the order."""
    if message.trace_id in later.predecessors:
        return True
    return later.message_id > message.message_id and later.in_flight_since is None
