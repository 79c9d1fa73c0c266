"""Messages, attempts and endpoints as the policy keeps them. All times are microseconds of its clock.

They know nothing of why: the policy decides.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from msgspec import Struct, field

from ashpath.core.interface import TrafficClassSettings
from ashpath.core.lifecycle import MessageState

if TYPE_CHECKING:
    from ashpath.core.destination_state import DestinationState
    from ashpath.core.gate_state import GateState

DISTANT_PAST_US = -(10**9)
"""Before anything happened, in microseconds."""


class TrafficClass(Struct, frozen=True):
    """A traffic class: its number, and what its operator wants."""

    index: int
    settings: TrafficClassSettings
    value_halves: bool
    """The value halves with each further latency objective; else it falls evenly up to the deadline."""


class OrderedQueue(Struct, eq=False):
    """The messages of one ordering key, in the order accepted; dropped once empty and settled."""

    key: int
    messages: deque[Message] = field(default_factory=deque)
    settles_at: int = 0
    """Nothing of the key is sent before, as an unresolved attempt may still run."""


class FirstRun(Struct, frozen=True):
    """The first attempt of a message that may have run."""

    started_at: int
    zone: int
    """-1: not known."""


class Endpoint(Struct, eq=False, kw_only=True):
    """One endpoint, the gate that its calls pass, and how they went."""

    endpoint_id: str
    zone: int
    gate: GateState
    tie_break: float
    """Drawn at random: the order among equals is each sender's own."""
    in_flight: int = 0
    last_call_at: int = DISTANT_PAST_US
    call_interval: int = 0
    """Between the starts of the latest two calls."""
    mean_duration: float = 0.0
    """Microseconds of its deliveries; 0: none yet."""
    failure_share: float = 0.0
    """Of its late calls."""
    fast_successes: int = 0

    def delivered(self, duration: int, *, fast: bool, gain: float) -> None:
        """A success, which weighs `gain` in the statistics."""
        mean = self.mean_duration
        self.mean_duration += gain * (duration - mean) if mean else duration
        self.failure_share = (1 - gain) * self.failure_share
        self.fast_successes += fast

    def failed(self, *, gain: float) -> None:
        """A failure, which weighs `gain` in the statistics."""
        self.failure_share += gain * (1 - self.failure_share)


class Attempt(Struct, eq=False, kw_only=True):
    """One call, with one or more messages in it."""

    endpoint: Endpoint
    started_at: int
    messages: list[Message] = field(default_factory=list)
    timeout: int = 0
    """One for all messages, so that the call has one outcome."""
    unresolved: int = 0
    """Messages without an outcome; at none the call is over."""
    outcome_applied: bool = False
    """The gate has had the call's one outcome."""
    duration_bound: int = 0
    """Nearly all calls take no longer: past this it is overdue."""
    expected_fast_successes: int = 0
    """The fast successes of its endpoint by the time that all calls then in flight are over."""
    is_trial: bool = False
    """The trial request of a half-open circuit breaker."""
    cancelled: bool = False


class Message(Struct, eq=False, kw_only=True):
    """One message, from its submission to its final answer."""

    message_id: int
    destination: DestinationState
    traffic_class: TrafficClass
    deadline_at: int
    objective_at: int
    """When its latency objective is over."""
    state: MessageState = MessageState.QUEUED
    queue: OrderedDict[Message, None] | None = None
    """In which it waits for a call."""
    ordered_queue: OrderedQueue | None = None
    attempts: int = 0
    attempt: Attempt | None = None
    """In flight."""
    first_run: FirstRun | None = None
    restored_untried: bool = False
    """A restart found it with no attempt made: it is tried while it has time, whatever is expected."""

    def value_at(self, when: int) -> float:
        """What a delivery at that time is worth, by the settings of its traffic class."""
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
