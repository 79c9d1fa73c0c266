"""The policy's actions on sockets and on disk: queued while the policy decides, performed after its batch.

Within a batch no greenlet may switch, so an action only appends a bound call here. `perform` makes the calls
right after the batch, in the order of the policy's actions: a record is written before what depends on it is
sent. What an action refers to (a message, an attempt) is looked up as the policy asks, not as it is done.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from ashpath.core.interface import PolicySettings
from ashpath.server.delivery.attempts import Attempt
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.gossip_link import GossipPublisher
from ashpath.server.logs import Logger
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import Timers

Action = Callable[[], None]
"""A bound call, with its arguments checked where it is queued."""


class AttemptStarter(Protocol):
    """Who records an attempt and starts it."""

    def begin_attempt(self, message: StoredMessage, endpoint_id: str, timeout: int) -> None:
        """Starts an attempt that may take `timeout` microseconds; does not switch."""


class QueuedActions:
    """Implements `PolicyActions`. `messages` and `attempts` are the policy runner's, by message id."""

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
        """The policy's new settings, for modes that change from now on."""
        self.settings = settings

    def perform(self) -> None:
        """Performs what is queued, and what that queues in turn."""
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
        """See `PolicyActions`; the message leaves `messages` at once."""
        message = self.messages.pop(message_id)
        self._queue.append(partial(self.recorder.record_rejected, message, retry_after))

    def fail(self, message_id: int) -> None:
        """See `PolicyActions`; the message leaves `messages` at once."""
        message = self.messages.pop(message_id)
        self._queue.append(partial(self.recorder.record_failed, message))

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        """See `PolicyActions`; a message has one attempt at a time, whose number does not matter here."""
        in_flight = self.attempts.get(message_id)
        if in_flight is not None:
            self._queue.append(in_flight.cancel)

    def close_idle_connections(self, endpoint_id: str) -> None:
        """See `PolicyActions`."""
        self._queue.append(partial(self.pool.close_idle, endpoint_id))

    def schedule_timer(self, at: int, token: str) -> None:
        """See `PolicyActions`; not queued, as it switches nothing."""
        self.timers.add(at, token)

    def poll_endpoints(self) -> None:
        """The discovery client polls by itself."""

    def publish(self, message: bytes) -> None:
        """See `PolicyActions`."""
        self._queue.append(partial(self.gossip.publish, message))

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        """See `PolicyActions`; logged at once."""
        self.logger.info("mode changed", change=text)
        warm_up_time = self.settings.warm_up_time
        self._queue.append(
            partial(self.outage_store.outage_began, destination, endpoint_id, rate)
            if down
            else partial(self.outage_store.outage_ended, destination, endpoint_id, rate, warm_up_time)
        )
