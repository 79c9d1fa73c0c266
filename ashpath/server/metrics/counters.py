"""Counts events of a sender as they happen. The counts continue after a change of the metrics address."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Histogram

from ashpath.core.interface import AttemptOutcome
from ashpath.core.time_units import SECOND

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


class MetricsCounters:
    """Counters that the policy runner and the outcome recorder update.

    `traffic_class_name` maps a number to its name in the current settings."""

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
            self.attempts.labels(outcome.value)  # exposed from the start, as 0

    def message_accepted(self, traffic_class: int) -> None:
        """Counts an accepted message."""
        self.accepted.labels(self.traffic_class_name(traffic_class)).inc()

    def message_finished(self, traffic_class: int, state: str) -> None:
        """Counts a message with its final state, which is named as in `wire_names`."""
        self.finished.labels(self.traffic_class_name(traffic_class), state).inc()

    def attempt_finished(self, outcome: AttemptOutcome, took_us: int) -> None:
        """Counts an attempt with its outcome, `took_us` microseconds after its start."""
        self.attempts.labels(outcome.value).inc()
        self.attempt_seconds.labels(outcome.value).observe(took_us / SECOND)
