"""The account of a day: windows of ten seconds, payoff delivered over asked for, rules, causes of loss.

G counts payoff: of all that clients asked for, the part that was delivered, each at its worth by then. Whole,
in the worst window by when they were asked for, and of the worst track.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from ashpath.core.interface import AttemptOutcome, TrafficClassSettings
from ashpath.emulator.invariant_checker import InvariantChecker

if TYPE_CHECKING:
    from ashpath.emulator.simulation import Work

WINDOW = 10_000_000
KEPT = 400  # mode lines that are kept; the rest is counted
LEAST = 20  # envelopes that a window must have to be the worst one


class Window:
    """Ten seconds. Payoff stands where it was asked for, counts where they happened."""

    __slots__ = (
        "aborted",
        "asked",
        "bounced",
        "breakers",
        "completed",
        "delivered",
        "endings",
        "handed_in",
        "lost",
        "shots",
    )

    def __init__(self) -> None:
        self.asked = self.delivered = 0.0
        self.handed_in = self.completed = self.bounced = self.aborted = self.lost = self.shots = 0
        self.breakers = 0
        self.endings: Counter[str] = Counter()

    def row(self, number: int) -> dict[str, Any]:
        return {
            "from": number * 10,
            "g": share(self.delivered, self.asked),
            "handed_in": self.handed_in,
            "completed": self.completed,
            "bounced": self.bounced,
            "aborted": self.aborted,
            "shots": self.shots,
            "breakers": self.breakers,
            **{name.replace(" ", "_"): self.endings[name] for name in ENDINGS},
        }


ENDINGS = tuple(ending.value for ending in AttemptOutcome if ending is not AttemptOutcome.DELIVERED)


def payoff(terms: TrafficClassSettings, decays: bool, work: Work, when: int) -> float:
    """What a delivery then is worth, by its track's terms."""
    late = when - work.born - terms.latency_objective
    if late <= 0:
        return float(terms.value)
    if when >= work.cutoff_at:
        return 0.0
    if decays:
        return float(terms.value * max(terms.late_value_share, 0.5 ** (late / terms.latency_objective)))
    return float(
        terms.value * (1 - (1 - terms.late_value_share) * late / (terms.deadline - terms.latency_objective))
    )


def share(part: float, whole: float) -> float:
    """To four places: the same text on every machine."""
    return round(part / whole, 4) if whole else 0.0


class Scoreboard:
    """`open` counts what has no end yet; all else grows with the length of the day, not its envelopes."""

    def __init__(self, tracks: list[str], keeps_modes: bool = False) -> None:
        self.tracks, self.keeps_modes = tracks, keeps_modes
        self.windows: dict[int, Window] = {}
        self.open = 0
        self.asked_by = [0.0] * len(tracks)
        self.delivered_by = [0.0] * len(tracks)
        self.causes: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()
        self.troubles: list[list[Any]] = []
        self.modes: list[list[Any]] = []
        self.mode_count = self.falls = 0
        self.rules: Counter[str] = Counter()
        self.handed_in = self.bounces = 0

    def window(self, at: int) -> Window:
        number = at // WINDOW
        found = self.windows.get(number)
        if found is None:
            found = self.windows[number] = Window()
        return found

    # What happens.

    def asked(self, work: Work, worth: float) -> None:
        window = self.window(work.born)
        window.handed_in += 1
        window.asked += worth
        self.asked_by[work.track] += worth
        self.open += 1
        self.handed_in += 1

    def delivered(self, at: int, work: Work, worth: float) -> None:
        self.window(work.born).delivered += worth
        self.window(at).completed += 1
        self.delivered_by[work.track] += worth
        self.ends["completed"] += 1
        self.open -= 1

    def lost(self, at: int, work: Work, how: str) -> None:
        window = self.window(at)
        window.aborted += how == "aborted"
        window.bounced += how != "aborted"
        self.ends["aborted" if how == "aborted" else "bounced"] += 1
        self.causes[f"{self.tracks[work.track]}: {how}, {work.why}"] += 1
        self.open -= 1

    def bounced(self, at: int) -> None:
        """One that its client hands in again."""
        self.bounces += 1

    def shot(self, at: int) -> None:
        self.window(at).shots += 1

    def outcome(self, at: int, ending: AttemptOutcome) -> None:
        if ending is not AttemptOutcome.DELIVERED:
            self.window(at).endings[ending.value] += 1

    def mode(self, at: int, sender: int, text: str) -> None:
        self.mode_count += 1
        if "breaker open" in text:
            self.window(at).breakers += 1
        if self.keeps_modes and len(self.modes) < KEPT:
            self.modes.append([at, sender, text])

    def fell(self, at: int, destination: int) -> None:
        self.falls += 1

    def trouble(self, at: int, kind: str) -> None:
        self.troubles.append([at, kind])

    def signal(self, name: str, hosts: list[Any]) -> float:
        """What conditions of the script look at."""
        if name == "held":
            return float(sum(len(host.entries) for host in hosts))
        if name == "out":
            return float(sum(entry.flight is not None for host in hosts for entry in host.entries.values()))
        return float(self.handed_in if name == "handed_in" else self.ends[name])

    def close(self, witness: InvariantChecker) -> None:
        self.rules = Counter(witness.counts)
        if self.open:
            self.causes["no end"] += self.open

    # What it comes to.

    def result(self) -> dict[str, Any]:
        """The outcome, the same to the byte for the same day, seed and policy."""
        windows = sorted(self.windows.items())
        fit = [w for _, w in windows if w.handed_in >= LEAST]
        by_track = {
            name: share(self.delivered_by[n], self.asked_by[n])
            for n, name in enumerate(self.tracks)
            if self.asked_by[n]
        }
        return {
            "g": share(sum(self.delivered_by), sum(self.asked_by)),
            "worst_window": min((share(w.delivered, w.asked) for w in fit), default=0.0),
            "worst_track": min(by_track.values(), default=0.0),
            "tracks": by_track,
            "handed_in": self.handed_in,
            "ends": dict(sorted(self.ends.items())),
            "handed_in_again": self.bounces,
            "shots": sum(w.shots for _, w in windows),
            "falls": self.falls,
            "modes": self.mode_count,
            "rules": dict(sorted(self.rules.items())),
            "causes": dict(sorted(self.causes.items(), key=lambda row: (-row[1], row[0]))),
            "troubles": self.troubles,
            "windows": [window.row(number) for number, window in windows],
        }
