"""Processes events and updates the policy's state: queued messages, listed endpoints, timers.

The engine makes no decisions. `DeliveryPolicy` implements its abstract methods, and processes the outcomes of
attempts. A batch consists of `begin_batch`, events and `end_batch`; all of its events have the same time, in
microseconds.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection

from ashpath.core.destination_state import DestinationState
from ashpath.core.gate_state import GateState
from ashpath.core.gossip_messages import EndpointRecovered
from ashpath.core.interface import EndpointRecord, PreviousAttempts
from ashpath.core.lifecycle import MessageState, transition
from ashpath.core.messages import FirstRun, Message, OrderedQueue
from ashpath.core.sender_state import SenderState
from ashpath.core.timers import Timer, TimerKind, message_timer, ordered_queue_timer


class PolicyEngine(SenderState, ABC):
    """The state of one sender, and handlers for all events except outcomes of attempts."""

    @abstractmethod
    def new_destination(self, number: int) -> DestinationState:
        """Creates the state of a destination seen for the first time."""

    @abstractmethod
    def enforce_queue_capacity(self) -> None:
        """Gives up a late message if the queue is nearly full; called on submission if messages are late."""

    @abstractmethod
    def re_evaluate(self, message: Message) -> None:
        """Decides whether the message still waits for a call, and in which queue."""

    @abstractmethod
    def re_evaluation_time(self, message: Message) -> int:
        """Returns the time at which to re-evaluate a waiting message."""

    @abstractmethod
    def rank(self) -> None:
        """Ranks endpoints; called when the ranking timer fires."""

    @abstractmethod
    def poll(self) -> None:
        """Polls the endpoint list if necessary; called when the poll timer fires."""

    # Messages.

    def submit(
        self, message_id: int, number: int, traffic_class: int, key: int | None, time_left: int
    ) -> None:
        """Accepts a message with `time_left` microseconds to its deadline; `key` is the ordering key."""
        destination = self.destination(number)
        self.submissions.add(self.now)
        gates = destination.gates()
        for gate in gates:
            gate.outage.submissions.add(self.now, 1 / len(gates))
        message = self._new_message(message_id, destination, traffic_class, time_left)
        if self.late_messages:
            self.enforce_queue_capacity()
        self._enqueue_new(message, key)

    def restore(
        self,
        message_id: int,
        number: int,
        traffic_class: int,
        key: int | None,
        time_left: int,
        previous: PreviousAttempts,
        *,
        followers: Collection[int] = (),
    ) -> None:
        """Restores a message of the previous incarnation with its attempts; waits and statistics are lost.

        `followers`: ids of the messages of its ordering key that were submitted or restored here before, and
        that the sender accepted later."""
        destination = self.destination(number)
        self.submissions.add(self.now, 0.0)
        # The message never has more time than when it was accepted, whatever clock measured the restart.
        time_left = min(time_left, self.traffic_classes[traffic_class].settings.deadline)
        message = self._new_message(message_id, destination, traffic_class, time_left)
        self._enqueue_new(message, key, followers)
        message.attempts = previous.attempts
        message.restored_untried = not previous.attempts
        if previous.first_run_at is not None:
            endpoint = destination.known_endpoints.get(previous.first_run_endpoint)
            message.first_run = FirstRun(previous.first_run_at, endpoint.zone if endpoint else -1)
        if message.ordered_queue and previous.unresolved:
            message.ordered_queue.rest(message_id, self.now + self.settings.settle_time)
        self.re_evaluate(message)

    def client_disconnected(self, message_id: int) -> None:
        """Finishes a queued message; abandons a message in flight until its outcome arrives."""
        message = self.messages.get(message_id)
        if message is None:
            return
        if message.state is MessageState.IN_FLIGHT:
            transition(message, MessageState.ABANDONED)
        elif message.state is MessageState.QUEUED:
            self.finish(message)

    def has_followers(self, message_id: int) -> bool:
        """Returns whether further messages of its ordering key wait until this message has ended."""
        ordered_queue = self.messages[message_id].ordered_queue
        return ordered_queue is not None and len(ordered_queue.messages) > 1

    def _new_message(
        self, message_id: int, destination: DestinationState, traffic_class: int, time_left: int
    ) -> Message:
        row = self.traffic_classes[traffic_class]
        deadline_at = self.now + time_left
        message = Message(
            message_id=message_id,
            destination=destination,
            traffic_class=row,
            deadline_at=deadline_at,
            objective_at=deadline_at - row.settings.deadline + row.settings.latency_objective,
        )
        self.messages[message_id] = message
        return message

    def _enqueue_new(self, message: Message, key: int | None, followers: Collection[int] = ()) -> None:
        message.destination.unfinished_messages += 1
        if message.traffic_class.settings.ordered and key is not None:
            ordered_queue = self.ordered_queues.setdefault(key, OrderedQueue(key))
            message.ordered_queue = ordered_queue
            ordered_queue.add(message, followers)
            self.schedule_re_evaluation(message)
            self.advance(ordered_queue)
        else:
            self.enqueue(message)

    def enqueue(self, message: Message, *, first: bool = False) -> None:
        """Queues the message for its destination, as the first or last message of its queue."""
        message.destination.queues.add(message, first=first)
        self.needs_dispatch[message.destination] = None
        self.schedule_re_evaluation(message)

    def schedule_re_evaluation(self, message: Message) -> None:
        """Schedules the timer at which the policy re-evaluates the message."""
        self.actions.schedule_timer(self.re_evaluation_time(message), message_timer(message.message_id))

    def finish(self, message: Message) -> None:
        """Marks the message as finished and removes it; advances its ordered queue."""
        transition(message, MessageState.FINISHED)
        message.destination.queues.remove(message)
        del self.messages[message.message_id]
        message.destination.unfinished_messages -= 1
        if message.ordered_queue is not None:
            message.ordered_queue.messages.remove(message)
            self.advance(message.ordered_queue)

    def advance(self, ordered_queue: OrderedQueue) -> None:
        """Queues the first message of the ordering key once the key has settled; removes an empty queue."""
        if ordered_queue.settles_at > self.now:
            self.actions.schedule_timer(ordered_queue.settles_at, ordered_queue_timer(ordered_queue.key))
        elif not ordered_queue.messages:
            self.ordered_queues.pop(ordered_queue.key, None)
        else:
            head = ordered_queue.messages[0]
            if head.state is MessageState.QUEUED and head.queue is None:
                self.enqueue(head)

    # Destinations.

    def destination(self, number: int) -> DestinationState:
        """Returns the state of the destination, which is created if missing."""
        found = self.destinations.get(number)
        if found is None:
            found = self.destinations[number] = self.new_destination(number)
        return found

    def destination_changed(self, destination: DestinationState) -> None:
        """Marks the destination for dispatch and ranking."""
        self.needs_dispatch[destination] = None
        self.needs_ranking[destination] = None

    def update_endpoints(self, rows: list[EndpointRecord], complete: bool) -> None:
        """Applies the complete endpoint list, or changes to it."""
        self.failed_polls = 0
        for destination in self.destinations.values() if complete else ():
            destination.endpoints = []
            self.needs_ranking[destination] = None
        for row in rows:
            destination = self.destination(row.destination)
            destination.update_endpoint(row)
            self.destination_changed(destination)

    def set_detached(self, endpoint_id: str, detached: bool, row: EndpointRecord | None = None) -> None:
        """Detaches an endpoint, which then drains, or reattaches it as listed in `row`; it then warms up."""
        (self.detached.add if detached else self.detached.discard)(endpoint_id)
        if not detached and row is not None:
            self.update_endpoints([row], complete=False)
        for destination in self.destinations.values():
            if endpoint_id not in destination.known_endpoints:
                continue
            if detached:
                destination.endpoints = [e for e in destination.endpoints if e.endpoint_id != endpoint_id]
            else:  # warm-up: the combined load of all senders might overload a restarted endpoint
                destination.known_endpoints[endpoint_id].gate.outage.recover()
            self.destination_changed(destination)

    def receive_gossip(self, message: bytes) -> None:
        """Handles a gossip message, which may be late. Malformed ones and unknown endpoints are ignored."""
        recovered = EndpointRecovered.decode(message)
        destination = self.destinations.get(recovered.destination) if recovered else None
        if recovered and destination and recovered.endpoint_id in destination.known_endpoints:
            destination.known_endpoints[recovered.endpoint_id].gate.recovery_reported()
            self.needs_dispatch[destination] = None

    def retry_after_received(self, number: int, endpoint_id: str, until: int) -> None:
        """Applies a Retry-After that the other process of this sender received."""
        for gate in self._gates(number, endpoint_id):
            gate.lengthen_retry_after(until, outcome_follows=True)  # the other process decides on outages

    def restore_outage(self, number: int, endpoint_id: str, rate: float) -> None:
        """Restores an outage of the previous incarnation; `rate`: deliveries per second before the outage."""
        for gate in self._gates(number, endpoint_id):
            gate.outage.restore(rate)

    def _gates(self, number: int, endpoint_id: str) -> list[GateState]:
        # Returns all gates of the destination if the endpoint is unknown.
        destination = self.destination(number)
        self.destination_changed(destination)
        known = destination.known_endpoints.get(endpoint_id)
        return (destination.gates() or [destination.gate]) if known is None else [known.gate]

    # Time.

    def begin_batch(self, now: int) -> None:
        """Sets the time of all events until `end_batch`, in microseconds."""
        self.now = now

    def timer_fired(self, token: str) -> None:
        """Handles a timer that was requested by `schedule_timer`."""
        timer = Timer.decode(token)
        if timer is None:
            return
        kind, number = timer
        if kind is TimerKind.MESSAGE:
            message = self.messages.get(number)
            if message is not None and message.state is MessageState.QUEUED:
                self.re_evaluate(message)
        elif kind is TimerKind.DESTINATION:
            if number in self.destinations:
                self.needs_dispatch[self.destinations[number]] = None
        elif kind is TimerKind.ORDERED_QUEUE:
            if number in self.ordered_queues:
                self.advance(self.ordered_queues[number])
        elif kind is TimerKind.POLL:
            self.poll()
        else:
            self.rank()
