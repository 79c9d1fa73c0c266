"""The policy's actions on sockets and on disk: queued while the policy decides, performed after its batch.

No greenlet may switch within a batch, so an action only appends a bound call to the queue. `perform` makes
the calls right after the batch, in the order of the policy's actions, so that a record is written before
anything that depends on the record is sent. The message or attempt of an action is looked up when the action
is queued, not when the action is performed.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from ashpath.core.interface import PolicySettings
from ashpath.server.delivery.attempts import Attempt
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_connection import CloseReason
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.gossip_link import GossipPublisher
from ashpath.server.logs import Logger
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import Timers

Action = Callable[[], None]
"""A bound call, whose arguments are type-checked where the call is queued."""


class AttemptStarter(Protocol):
    """Records attempts and starts them."""

    def begin_attempt(self, message: StoredMessage, endpoint_id: str, timeout: int) -> None:
        """Starts an attempt that may take `timeout` microseconds. Does not switch greenlets."""


class QueuedActions:
    """Implements `PolicyActions`. `messages` and `attempts`, by message id, belong to the policy runner."""

    def __init__(
        self,
        settings: PolicySettings,
        messages: dict[int, StoredMessage],
        attempts: Mapping[int, Attempt],
        starter: AttemptStarter,
        recorder: OutcomeRecorder,
        pool: ConnectionPool,
        outage_store: OutageStore,
        gossip: GossipPublisher,
        timers: Timers,
        logger: Logger,
    ) -> None:
        self.settings = settings
        self.messages = messages
        self.attempts = attempts
        self.starter = starter
        self.recorder = recorder
        self.pool = pool
        self.outage_store = outage_store
        self.gossip = gossip
        self.timers = timers
        self.logger = logger
        self._queue: list[Action] = []

    def apply_settings(self, settings: PolicySettings) -> None:
        """Uses the policy's new settings for later mode changes."""
        self.settings = settings

    def perform(self) -> None:
        """Performs the queued actions, and the actions that these queue in turn."""
        while self._queue:
            actions = self._queue
            self._queue = []
            for action in actions:
                action()

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        """See `PolicyActions`."""
        message = self.messages[message_id]
        self._queue.append(partial(self.starter.begin_attempt, message, endpoint_id, timeout))

    def reject(self, message_id: int, retry_after: int) -> None:
        """See `PolicyActions`. The message is removed from `messages` at once."""
        message = self.messages.pop(message_id)
        self._queue.append(partial(self.recorder.record_rejected, message, retry_after))

    def fail(self, message_id: int) -> None:
        """See `PolicyActions`. The message is removed from `messages` at once."""
        message = self.messages.pop(message_id)
        self._queue.append(partial(self.recorder.record_failed, message))

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        """See `PolicyActions`. The attempt number is not needed, as a message has one attempt at a time."""
        in_flight = self.attempts.get(message_id)
        if in_flight is not None:
            self._queue.append(in_flight.cancel)

    def close_idle_connections(self, endpoint_id: str) -> None:
        """See `PolicyActions`."""
        self._queue.append(partial(self.pool.close_idle, endpoint_id, CloseReason.RARELY_USED))

    def schedule_timer(self, at: int, token: str) -> None:
        """See `PolicyActions`. Not queued, as scheduling a timer does not switch greenlets."""
        self.timers.add(at, token)

    def poll_endpoints(self) -> None:
        """See `PolicyActions`. Does nothing, as the discovery client polls on its own schedule."""

    def publish(self, message: bytes) -> None:
        """See `PolicyActions`."""
        self._queue.append(partial(self.gossip.publish, message))

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        """See `PolicyActions`. The change is logged at once; storing the outage is queued."""
        self.logger.info("mode changed", change=text)
        warm_up_time = self.settings.warm_up_time
        self._queue.append(
            partial(self.outage_store.outage_began, destination, endpoint_id, rate)
            if down
            else partial(self.outage_store.outage_ended, destination, endpoint_id, rate, warm_up_time)
        )
