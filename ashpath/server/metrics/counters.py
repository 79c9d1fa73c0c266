"""Counts what happens in a sender, as it happens. Counts go on over a change of the address."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Histogram

from ashpath.core.interface import AttemptOutcome

ATTEMPT_DURATION_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)  # upper bounds of buckets
MICROSECONDS_PER_SECOND = 1e6  # a second


class MetricsCounters:
    """What the policy runner and the outcome recorder report to.

    `traffic_class_name`: as the running settings name a number."""

    def __init__(self, registry: CollectorRegistry, traffic_class_name: Callable[[int], str]) -> None:
        self.traffic_class_name = traffic_class_name
        self.accepted = Counter(
            "ashpath_messages_accepted",
            "Messages that were accepted.",
            ("traffic_class",),
            registry=registry,
        )
        self.finished = Counter(
            "ashpath_messages_finished",
            "Messages that have their final outcome.",
            ("traffic_class", "outcome"),
            registry=registry,
        )
        self.attempts = Counter(
            "ashpath_attempts", "Attempts by their outcome.", ("outcome",), registry=registry
        )
        self.attempt_seconds = Histogram(
            "ashpath_attempt_seconds",
            "Time of an attempt, to its outcome.",
            ("outcome",),
            buckets=ATTEMPT_DURATION_BUCKETS_S,
            registry=registry,
        )
        for outcome in AttemptOutcome:
            self.attempts.labels(outcome.value)  # shown from the start, at 0

    def message_accepted(self, traffic_class: int) -> None:
        """One more message was accepted."""
        self.accepted.labels(self.traffic_class_name(traffic_class)).inc()

    def message_finished(self, traffic_class: int, state: str) -> None:
        """A message has its final state, as `wire_names` has it."""
        self.finished.labels(self.traffic_class_name(traffic_class), state).inc()

    def attempt_finished(self, outcome: AttemptOutcome, took_us: int) -> None:
        """An attempt has its outcome, `took_us` microseconds from its start."""
        self.attempts.labels(outcome.value).inc()
        self.attempt_seconds.labels(outcome.value).observe(took_us / MICROSECONDS_PER_SECOND)
