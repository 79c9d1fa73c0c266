"""What a fleet that restarts near the end of an outage sends to the destination as it comes back.

    .venv/bin/python -m benchmarks.restarts [silence]

Over what it may be sent (`tests/support/fleet.py`), in virtual time: a line a setting that goes over, then
how many did. With `silence` only outages in which nothing responds.
"""

from __future__ import annotations

import sys
from itertools import product
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from support.fleet import CUSTOMERS, Fleet

from ashpath.core.statistics import SECOND

CAPACITIES = (3.0, 6.0, 12.0)
RESTARTS = (45.0, 48.0, 49.3, 49.7)  # seconds; it comes back at 50
RESTARTS_IN_SILENCE = (46.0, 48.0, 49.0, 49.3, 49.7)


def main(*, silence: bool) -> None:
    moments: list[tuple[float, ...]] = [(at,) for at in (RESTARTS_IN_SILENCE if silence else RESTARTS)]
    moments = moments if silence else [(), *moments]
    kinds = (True,) if silence else (False, True)
    senders, seeds = ((20, 30), range(1, 7)) if silence else ((1, 3, 20, 30), range(1, 5))
    settings = plays = over_settings = over_plays = 0
    for customer, count, capacity, silent, restarts in product(
        CUSTOMERS, senders, CAPACITIES, kinds, moments
    ):
        found = [play(customer, count, capacity, restarts, seed, silent=silent) for seed in seeds]
        settings += 1
        plays += len(found)
        over_settings += max(found) > 1
        over_plays += sum(one > 1 for one in found)
        if max(found) > 1:
            kind = "silent" if silent else "refuses"
            print(f"{customer} {count} senders, {capacity:g}/s {kind}, restarts {restarts}: {max(found):.2f}")
    print(f"over it: {over_settings} of {settings} settings, {over_plays} of {plays} plays")


def play(
    customer: str, senders: int, capacity: float, restarts: tuple[float, ...], seed: int, *, silent: bool
) -> float:
    """The calls in the worst window, over those allowed."""
    moments = tuple(round(at * SECOND) for at in restarts)
    uneven = bool(seed % 2)
    fleet = Fleet(
        CUSTOMERS[customer], senders, capacity, uneven=uneven, silent=silent, restarts=moments, seed=seed
    )
    calls, most = fleet.play().worst()
    return calls / most


if __name__ == "__main__":
    main(silence="silence" in sys.argv[1:])
