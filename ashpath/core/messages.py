"""The policy's records of messages, attempts and endpoints. All times are microseconds of its clock.

These types hold data only; the policy makes the decisions.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Collection
from typing import TYPE_CHECKING

from msgspec import Struct, field

from ashpath.core.interface import TrafficClassSettings
from ashpath.core.lifecycle import MessageState

if TYPE_CHECKING:
    from ashpath.core.destination_state import DestinationState
    from ashpath.core.gate_state import GateState

DISTANT_PAST_US = -(10**9)
"""A time before any event, in microseconds."""


class TrafficClass(Struct, frozen=True):
    """A traffic class: its number and its settings."""

    index: int
    settings: TrafficClassSettings
    value_halves: bool
    """The value halves with each further latency objective; otherwise it falls linearly to the deadline."""


class OrderedQueue(Struct, eq=False):
    """The messages of one ordering key, in the order accepted; removed once empty and settled."""

    key: int
    messages: deque[Message] = field(default_factory=deque)
    settles_at: int = 0
    """No message of the key is sent before this time, as an unresolved attempt may still run."""
    settles_after: int = 0
    """Id of the message of that attempt, whose own retry need not wait."""

    def rest(self, message_id: int, until: int) -> None:
        """Notes that an attempt ended unresolved; other messages than its own wait until a time."""
        self.settles_at = until
        self.settles_after = message_id

    def must_wait(self, message: Message, now: int) -> bool:
        """Whether a message of the key may not be sent now: another one precedes it, or the key rests."""
        rests = self.settles_at > now and self.settles_after != message.message_id
        return rests or self.messages[0] is not message

    def add(self, message: Message, followers: Collection[int] = ()) -> None:
        """Adds a message ahead of the first one whose id is in `followers`, or behind all others."""
        for position, other in enumerate(self.messages if followers else ()):
            if other.message_id in followers:
                self.messages.insert(position, message)
                return
        self.messages.append(message)


class FirstRun(Struct, frozen=True):
    """The first attempt of a message that may have run."""

    started_at: int
    zone: int
    """The zone of the endpoint; -1: unknown."""


class Endpoint(Struct, eq=False, kw_only=True):
    """One endpoint, the gate that its calls pass, and statistics of its calls."""

    endpoint_id: str
    zone: int
    gate: GateState
    tie_break: float
    """Random, so that senders rank equal endpoints in different orders."""
    in_flight: int = 0
    last_call_at: int = DISTANT_PAST_US
    call_interval: int = 0
    """Microseconds between the starts of the two latest calls."""
    mean_duration: float = 0.0
    """The mean duration of deliveries in microseconds; 0: none yet."""
    failure_share: float = 0.0
    """The share of failures among recent calls."""
    fast_successes: int = 0  # deliveries that took less than half of their time-out

    def delivered(self, duration: int, *, fast: bool, gain: float) -> None:
        """Adds a success to the statistics with weight `gain`; `duration` is in microseconds."""
        mean = self.mean_duration
        self.mean_duration += gain * (duration - mean) if mean else duration
        self.failure_share = (1 - gain) * self.failure_share
        self.fast_successes += fast

    def failed(self, *, gain: float) -> None:
        """Adds a failure to the statistics with weight `gain`."""
        self.failure_share += gain * (1 - self.failure_share)


class Attempt(Struct, eq=False, kw_only=True):
    """One call, which carries one or more messages."""

    endpoint: Endpoint
    started_at: int
    messages: list[Message] = field(default_factory=list)
    timeout: int = 0
    """One timeout for all messages, so that the call has one outcome."""
    unresolved: int = 0
    """The number of messages without an outcome; at 0 the call has ended."""
    outcome_applied: bool = False
    """The gate has been updated with the outcome of the call."""
    duration_bound: int = 0
    """Microseconds within which nearly all calls end; a call that takes longer is overdue."""
    expected_fast_successes: int = 0
    """The fast successes of the endpoint if all calls in flight at the start of this one succeed fast."""
    is_trial: bool = False
    """The trial request of a half-open circuit breaker."""
    cancelled: bool = False


class Message(Struct, eq=False, kw_only=True):
    """One message, from its submission to its final outcome."""

    message_id: int
    destination: DestinationState
    traffic_class: TrafficClass
    deadline_at: int
    objective_at: int
    """The time at which the latency objective expires."""
    state: MessageState = MessageState.QUEUED
    queue: OrderedDict[Message, None] | None = None
    """The queue in which the message waits for a call, or None."""
    ordered_queue: OrderedQueue | None = None
    attempts: int = 0
    attempt: Attempt | None = None
    """The attempt in flight."""
    first_run: FirstRun | None = None
    restored_untried: bool = False
    """Restored without an earlier attempt: until its first one, only Retry-After counts as expected wait."""

    def value_at(self, when: int) -> float:
        """Returns the value of a delivery at time `when`, by the settings of the traffic class."""
        settings = self.traffic_class.settings
        late = when - self.objective_at
        if late <= 0:
            return settings.value
        if when >= self.deadline_at:
            return 0.0
        if self.traffic_class.value_halves:
            share: float = 0.5 ** (late / settings.latency_objective)
        else:
            span = settings.deadline - settings.latency_objective
            share = 1 - (1 - settings.late_value_share) * late / span
        return settings.value * max(settings.late_value_share, share)
