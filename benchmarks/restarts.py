"""`python -m benchmarks.restarts [silence]`: what a fleet that restarts near the end of an outage sends to
the place as it comes back, over what it may be sent (`tests/rigs/fleet.py`). In virtual time; a line a
setting that goes over, then how many did. With `silence` only outages in which nothing comes back."""

from __future__ import annotations

import sys
from itertools import product
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from support.fleet import CUSTOMERS, SECOND, Fleet

CAPACITIES = (3.0, 6.0, 12.0)
AT = (45.0, 48.0, 49.3, 49.7)  # seconds; it comes back at 50
AT_SILENCE = (46.0, 48.0, 49.0, 49.3, 49.7)


def main(silence: bool) -> None:
    moments = [(at,) for at in AT_SILENCE] if silence else [(), *((at,) for at in AT)]
    kinds = (True,) if silence else (False, True)
    senders, seeds = ((20, 30), range(1, 7)) if silence else ((1, 3, 20, 30), range(1, 5))
    settings = plays = over_settings = over_plays = 0
    for customer, count, able, silent, restarts in product(CUSTOMERS, senders, CAPACITIES, kinds, moments):
        found = []
        for seed in seeds:
            told, uneven = tuple(round(at * SECOND) for at in restarts), bool(seed % 2)
            terms = CUSTOMERS[customer]
            fleet = Fleet(terms, count, able, uneven=uneven, silent=silent, restarts=told, seed=seed)
            calls, most = fleet.play().worst()
            found.append(calls / most)
        settings, plays = settings + 1, plays + len(found)
        over_settings += max(found) > 1
        over_plays += sum(one > 1 for one in found)
        if max(found) > 1:
            kind = "silent" if silent else "refuses"
            print(f"{customer} {count} senders, {able:g}/s {kind}, restarts {restarts}: {max(found):.2f}")
    print(f"over it: {over_settings} of {settings} settings, {over_plays} of {plays} plays")


if __name__ == "__main__":
    main("silence" in sys.argv[1:])
