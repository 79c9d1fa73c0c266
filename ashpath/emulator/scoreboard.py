"""The score of a run: the value that was delivered over the value asked for, by windows of ten seconds and by
traffic class, with the causes of loss.

G is the part of the value of all requests that was delivered, each at its value by then: over the whole
run, in the worst window by when the requests were created, and of the worst traffic class.
`Scoreboard.result` maps the names here to those of outcome files.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ashpath.core.interface import AttemptOutcome, TrafficClassSettings
from ashpath.core.json_types import JsonObject
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scenario.schema import Span
from ashpath.emulator.scenario.settings import span_weight
from ashpath.emulator.units import SECOND

WINDOW = 10 * SECOND
MAX_MODE_CHANGES = 400  # that are kept; the rest is counted
MIN_REQUESTS_OF_WORST_WINDOW = 20  # that a window must have to be the worst one
NOT_FAILURES = (AttemptOutcome.DELIVERED, AttemptOutcome.LOCAL_FAULT)  # the latter no simulation has
FAILURES = tuple(outcome.value for outcome in AttemptOutcome if outcome not in NOT_FAILURES)


class DeliveryValue:
    """The value of a request's delivery at a time, by the settings of its traffic class."""

    def __init__(
        self, traffic_classes: Sequence[TrafficClassSettings], halves: bool, spans: Iterable[Span]
    ) -> None:
        self._traffic_classes = traffic_classes
        self._halves = (
            halves  # a late delivery's value halves with each latency objective; else it falls evenly
        )
        self._weights = [span_weight(span) for span in spans]  # thinned spans count more

    def __call__(self, request: ClientRequest, at: int) -> float:
        """The value of a delivery at this time, in microseconds of the run."""
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
    """A line that a policy wrote as one of its circuit breakers or limits changed."""

    at: int
    sender: int
    text: str


class Window:
    """Ten seconds: value is counted when its request was created, all else when it happened."""

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
        """As outcome files have it."""
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
    """To four places: the same text on every machine."""
    return round(numerator / denominator, 4) if denominator else 0.0


class Scoreboard:
    """Counts what happens in a run.

    `open_requests` counts those that have no end yet; all else grows with the length of the run, not its
    requests.
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
        self._faults: list[tuple[int, str]] = []  # when each began, and its kind
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
        """A client created a request, which is worth this if it is delivered at once."""
        window = self._window(request.created_at)
        window.requested += 1
        window.value_requested += value
        self.value_requested[request.traffic_class] += value
        self.open_requests += 1
        self.requested_count += 1

    def delivered(self, at: int, request: ClientRequest, value: float) -> None:
        """A request was delivered, and is worth this."""
        self._window(request.created_at).value_delivered += value
        self._window(at).delivered += 1
        self.value_delivered[request.traffic_class] += value
        self._ends[FinalOutcome.DELIVERED.value] += 1
        self.open_requests -= 1

    def undelivered(self, at: int, request: ClientRequest, outcome: FinalOutcome) -> None:
        """A client gave a request up."""
        window = self._window(at)
        failed = outcome is FinalOutcome.FAILED
        window.failed += failed
        window.rejected += not failed
        self._ends[(FinalOutcome.FAILED if failed else FinalOutcome.REJECTED).value] += 1
        traffic_class = self.traffic_classes[request.traffic_class]
        self._causes[f"{traffic_class}: {outcome.value}, {request.last_outcome}"] += 1
        self.open_requests -= 1

    def resubmitted(self) -> None:
        """A client submits a rejected request again."""
        self._resubmissions += 1

    def has_open_requests(self) -> bool:
        """Whether a request has no end yet."""
        return self.open_requests != 0

    # Senders and destinations.

    def attempt_sent(self, at: int) -> None:
        """The first byte of an attempt went out."""
        self._window(at).attempts += 1

    def attempt_finished(self, at: int, outcome: AttemptOutcome) -> None:
        """An attempt has its outcome."""
        if outcome is not AttemptOutcome.DELIVERED:
            self._window(at).failures[outcome.value] += 1

    def mode_changed(self, at: int, sender: int, text: str) -> None:
        """A policy changed the mode of a circuit breaker or a limit."""
        self._mode_change_count += 1
        if "breaker open" in text:
            self._window(at).breakers_opened += 1
        if self.keeps_mode_changes and len(self.mode_changes) < MAX_MODE_CHANGES:
            self.mode_changes.append(ModeChange(at, sender, text))

    def collapsed(self) -> None:
        """A destination was pushed over in slow start."""
        self._collapses += 1

    def fault_began(self, at: int, kind: str) -> None:
        """A fault of the script was put on."""
        self._faults.append((at, kind))

    def signal(self, name: str) -> float:
        """What conditions of the script look at, by its name in scenario files."""
        return float(self.requested_count if name == "handed_in" else self._ends[name])

    def close(self, checker: InvariantChecker) -> None:
        """The run is over."""
        self._broken_rules = Counter(checker.counts)
        if self.open_requests:
            self._causes["no end"] += self.open_requests

    # What it comes to.

    def result(self) -> JsonObject:
        """The outcome, the same to the byte for the same scenario, seed and policy."""
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
