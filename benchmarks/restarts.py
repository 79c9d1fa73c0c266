"""The calls of a fleet that restarts near the end of an outage, to the recovering destination and relative to
the limit (`tests/support/fleet.py`).

    .venv/bin/python -m benchmarks.restarts [silence]

Runs in simulated time. Prints a line for each setting that exceeds the limit, then how many did. With
`silence` all outages are of a destination that accepts calls and never responds, and the fleet always
restarts.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from pathlib import Path

from ashpath.core.time_units import SECOND

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from support.fleet import CUSTOMERS, Fleet

CAPACITIES = (3.0, 6.0, 12.0)
RESTARTS_S = (45.0, 48.0, 49.3, 49.7)  # the destination recovers at 50 s
RESTARTS_IN_SILENCE_S = (46.0, 48.0, 49.0, 49.3, 49.7)


@dataclass(frozen=True, slots=True)
class Setting:
    """A fleet and an outage, with the times of the fleet's restarts in seconds."""

    customer: str
    senders: int
    capacity: float
    silent: bool
    restarts_s: tuple[float, ...]

    def load(self, seed: int) -> float:
        """Returns the calls in the worst window relative to the limit of that window."""
        fleet = Fleet(
            CUSTOMERS[self.customer],
            self.senders,
            self.capacity,
            uneven=bool(seed % 2),
            silent=self.silent,
            restarts=tuple(round(at * SECOND) for at in self.restarts_s),
            seed=seed,
        )
        calls, limit = fleet.run().worst_window()
        return calls / limit

    def __str__(self) -> str:
        kind = "silent" if self.silent else "refuses"
        fleet = f"{self.customer} {self.senders} senders, {self.capacity:g}/s {kind}"
        return f"{fleet}, restarts {self.restarts_s}"


def settings(*, silence: bool) -> Iterator[Setting]:
    """Yields the settings to run."""
    if silence:
        senders: tuple[int, ...] = (20, 30)
        restarts: list[tuple[float, ...]] = [(at,) for at in RESTARTS_IN_SILENCE_S]
        kinds: tuple[bool, ...] = (True,)
    else:
        senders = (1, 3, 20, 30)
        restarts = [(), *((at,) for at in RESTARTS_S)]
        kinds = (False, True)
    for row in product(CUSTOMERS, senders, CAPACITIES, kinds, restarts):
        yield Setting(*row)


def main() -> None:
    """Runs all settings and prints those that exceed the limit."""
    silence = "silence" in sys.argv[1:]
    seeds = range(1, 7) if silence else range(1, 5)
    loads_by_setting: list[list[float]] = []
    for setting in settings(silence=silence):
        loads = [setting.load(seed) for seed in seeds]
        loads_by_setting.append(loads)
        if max(loads) > 1:
            print(f"{setting}: {max(loads):.2f}")
    over = [load for loads in loads_by_setting for load in loads if load > 1]
    settings_over = sum(max(loads) > 1 for loads in loads_by_setting)
    plays = sum(len(loads) for loads in loads_by_setting)
    print(f"over it: {settings_over} of {len(loads_by_setting)} settings, {len(over)} of {plays} plays")


if __name__ == "__main__":
    main()
