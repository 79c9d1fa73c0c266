"""The score of a run: delivered value over requested value, by windows of ten seconds and by traffic class,
with the causes of loss.

G is the share of the value of all requests that was delivered, where a delivery counts with its value at that
time. G is given for the whole run, for the worst window (by creation of the requests) and for the worst
traffic class. `Scoreboard.result` maps the names in this module to those of outcome files.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ashpath.core.interface import AttemptOutcome, TrafficClassSettings
from ashpath.core.json_types import JsonObject
from ashpath.core.time_units import SECOND
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scenario.schema import Span
from ashpath.emulator.scenario.settings import span_weight

WINDOW = 10 * SECOND  # microseconds
MAX_MODE_CHANGES = 400  # changes that are kept; further ones are only counted
MIN_REQUESTS_OF_WORST_WINDOW = 20  # windows with fewer requests are never the worst one
NOT_FAILURES = (AttemptOutcome.DELIVERED, AttemptOutcome.LOCAL_FAULT)  # simulations have no local faults
FAILURES = tuple(outcome.value for outcome in AttemptOutcome if outcome not in NOT_FAILURES)


class DeliveryValue:
    """The value of a request's delivery at a given time, by the settings of its traffic class."""

    def __init__(
        self, traffic_classes: Sequence[TrafficClassSettings], halves: bool, spans: Iterable[Span]
    ) -> None:
        self._traffic_classes = traffic_classes
        # The value of a late delivery halves with each latency objective, or else decreases linearly.
        self._halves = halves
        self._weights = [span_weight(span) for span in spans]  # spans with thinned traffic weigh more

    def __call__(self, request: ClientRequest, at: int) -> float:
        """Returns the value of a delivery at time `at`, in microseconds of the run."""
        settings = self._traffic_classes[request.traffic_class]
        return self._value_in_class(settings, request, at) * self._weights[request.span]

    def _value_in_class(self, settings: TrafficClassSettings, request: ClientRequest, at: int) -> float:
        objective = settings.latency_objective
        late = at - request.created_at - objective
        if late <= 0:
            return float(settings.value)
        if at >= request.deadline_at:
            return 0.0
        if self._halves:
            return float(settings.value * max(settings.late_value_share, 0.5 ** (late / objective)))
        lost = (1 - settings.late_value_share) * late / (settings.deadline - objective)
        return float(settings.value * (1 - lost))


class ModeChange(NamedTuple):
    """A line that a policy logged when one of its circuit breakers or limits changed."""

    at: int
    sender: int
    text: str


class Window:
    """Counts of ten seconds. Value counts when its request was created, all else when it happened."""

    __slots__ = (
        "attempts",
        "breakers_opened",
        "delivered",
        "failed",
        "failures",
        "rejected",
        "requested",
        "value_delivered",
        "value_requested",
    )

    def __init__(self) -> None:
        self.value_requested = 0.0
        self.value_delivered = 0.0
        self.requested = 0
        self.delivered = 0
        self.rejected = 0
        self.failed = 0
        self.attempts = 0
        self.breakers_opened = 0
        self.failures: Counter[str] = Counter()  # of attempts, by outcome

    def row(self, number: int) -> JsonObject:
        """Returns the window's row of an outcome file."""
        return {
            "from": number * 10,
            "g": rounded_ratio(self.value_delivered, self.value_requested),
            "handed_in": self.requested,
            "completed": self.delivered,
            "bounced": self.rejected,
            "aborted": self.failed,
            "shots": self.attempts,
            "breakers": self.breakers_opened,
            **{name.replace(" ", "_"): self.failures[name] for name in FAILURES},
        }


def rounded_ratio(numerator: float, denominator: float) -> float:
    """Returns the ratio rounded to four places, so that its text is the same on every machine."""
    return round(numerator / denominator, 4) if denominator else 0.0


class Scoreboard:
    """Counts the events of a run.

    `open_requests` is the number of requests that have not ended. The memory in use grows with the length of
    the run, not with its number of requests.
    """

    def __init__(self, traffic_classes: list[str], *, keeps_mode_changes: bool = False) -> None:
        self.traffic_classes = traffic_classes
        self.keeps_mode_changes = keeps_mode_changes
        self.open_requests = 0
        self.requested_count = 0
        self.mode_changes: list[ModeChange] = []
        self.value_requested = [0.0] * len(traffic_classes)
        self.value_delivered = [0.0] * len(traffic_classes)
        self._windows: dict[int, Window] = {}
        self._causes: Counter[str] = Counter()
        self._ends: Counter[str] = Counter()
        self._faults: list[tuple[int, str]] = []  # start and kind of each fault
        self._mode_change_count = 0
        self._collapses = 0
        self._broken_rules: Counter[str] = Counter()
        self._resubmissions = 0

    def _window(self, at: int) -> Window:
        number = at // WINDOW
        found = self._windows.get(number)
        if found is None:
            found = self._windows[number] = Window()
        return found

    # Requests.

    def requested(self, request: ClientRequest, value: float) -> None:
        """Counts a request that a client created; `value` is that of an immediate delivery."""
        window = self._window(request.created_at)
        window.requested += 1
        window.value_requested += value
        self.value_requested[request.traffic_class] += value
        self.open_requests += 1
        self.requested_count += 1

    def delivered(self, at: int, request: ClientRequest, value: float) -> None:
        """Counts a delivered request; `value` is that of its delivery at time `at`."""
        self._window(request.created_at).value_delivered += value
        self._window(at).delivered += 1
        self.value_delivered[request.traffic_class] += value
        self._ends[FinalOutcome.DELIVERED.value] += 1
        self.open_requests -= 1

    def undelivered(self, at: int, request: ClientRequest, outcome: FinalOutcome) -> None:
        """Counts a request that a client gave up."""
        window = self._window(at)
        failed = outcome is FinalOutcome.FAILED
        window.failed += failed
        window.rejected += not failed
        self._ends[(FinalOutcome.FAILED if failed else FinalOutcome.REJECTED).value] += 1
        traffic_class = self.traffic_classes[request.traffic_class]
        self._causes[f"{traffic_class}: {outcome.value}, {request.last_outcome}"] += 1
        self.open_requests -= 1

    def resubmitted(self) -> None:
        """Counts a resubmission of a rejected request."""
        self._resubmissions += 1

    def has_open_requests(self) -> bool:
        """Returns whether any request has not ended."""
        return self.open_requests != 0

    # Senders and destinations.

    def attempt_sent(self, at: int) -> None:
        """Counts an attempt whose first byte was sent."""
        self._window(at).attempts += 1

    def attempt_finished(self, at: int, outcome: AttemptOutcome) -> None:
        """Counts the outcome of an attempt, unless it is a delivery."""
        if outcome is not AttemptOutcome.DELIVERED:
            self._window(at).failures[outcome.value] += 1

    def mode_changed(self, at: int, sender: int, text: str) -> None:
        """Counts a mode change of a policy's circuit breaker or limit."""
        self._mode_change_count += 1
        if "breaker open" in text:
            self._window(at).breakers_opened += 1
        if self.keeps_mode_changes and len(self.mode_changes) < MAX_MODE_CHANGES:
            self.mode_changes.append(ModeChange(at, sender, text))

    def collapsed(self) -> None:
        """Counts a collapse of a destination in slow start."""
        self._collapses += 1

    def fault_began(self, at: int, kind: str) -> None:
        """Records the start of a scripted fault."""
        self._faults.append((at, kind))

    def signal(self, name: str) -> float:
        """Returns a signal for the conditions of faults, by its name in scenario files."""
        return float(self.requested_count if name == "handed_in" else self._ends[name])

    def close(self, checker: InvariantChecker) -> None:
        """Ends the run: stores the checker's counts, and adds open requests to the causes of loss."""
        self._broken_rules = Counter(checker.counts)
        if self.open_requests:
            self._causes["no end"] += self.open_requests

    # Result.

    def result(self) -> JsonObject:
        """Returns the outcome, which is the same, byte for byte, for the same scenario, seed and policy."""
        windows = sorted(self._windows.items())
        scored = [
            rounded_ratio(window.value_delivered, window.value_requested)
            for _, window in windows
            if window.requested >= MIN_REQUESTS_OF_WORST_WINDOW
        ]
        by_class = {
            name: rounded_ratio(self.value_delivered[number], self.value_requested[number])
            for number, name in enumerate(self.traffic_classes)
            if self.value_requested[number]
        }
        return {
            "g": rounded_ratio(sum(self.value_delivered), sum(self.value_requested)),
            "worst_window": min(scored, default=0.0),
            "worst_track": min(by_class.values(), default=0.0),
            "tracks": by_class,
            "handed_in": self.requested_count,
            "ends": dict(sorted(self._ends.items())),
            "handed_in_again": self._resubmissions,
            "shots": sum(window.attempts for _, window in windows),
            "falls": self._collapses,
            "modes": self._mode_change_count,
            "rules": dict(sorted(self._broken_rules.items())),
            "causes": dict(sorted(self._causes.items(), key=lambda row: (-row[1], row[0]))),
            "troubles": self._faults,
            "windows": [window.row(number) for number, window in windows],
        }
