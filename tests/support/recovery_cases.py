"""Cases of a fleet whose destination fails and recovers, on the settings of the customers in deploy/sites.

`all_cases` is the full cross; `drawn_cases` has some of each customer, number of senders and outage length.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from itertools import product
from random import Random

from ashpath.core.interface import PolicySettings
from ashpath.core.policy_settings import sender_settings
from ashpath.core.time_units import SECOND
from support.fleet import Fleet, Restart, RestartMethod
from support.sites import SITE_NAMES, read, settings

SENDERS = (1, 3, 8, 20, 30)
OUTAGES_S = (0.3, 1.0, 2.5, 6.0, 20.0, 90.0)
RESTARTS = (None, *RestartMethod)
CAPACITIES = (6.0, 40.0)  # one with a budget below SMALL_BUDGET_CALLS at both customers, one above it
OUTAGE_BEGINS_AT = 12 * SECOND
RESTARTED_SHARE = 0.5
LATEST_RESTARTS = 5 * SECOND  # restarts come at most this long before the recovery
RESUBMISSIONS = 2
MAX_LISTED_RATE_FACTOR = 1.5


@cache
def site_settings(site: str) -> PolicySettings:
    return sender_settings(1, settings(read(site)))


@dataclass(frozen=True, slots=True)
class RecoveryCase:
    """A fleet and an outage. `restart` is how half of the senders are restarted, None if none is."""

    site: str
    senders: int
    outage_s: float
    silent: bool
    restart: RestartMethod | None
    uneven: bool
    late: bool
    """Whether half of the senders have no messages for the destination until shortly before its recovery."""
    capacity: float
    seed: int

    def fleet(self) -> Fleet:
        """Returns the fleet, which has not run."""
        random = Random(str(self))
        policy_settings = site_settings(self.site)
        recovers_at = OUTAGE_BEGINS_AT + round(self.outage_s * SECOND)
        return Fleet(
            policy_settings,
            self.senders,
            self.capacity,
            uneven=self.uneven,
            late_senders=self.late,
            silent=self.silent,
            outage=(OUTAGE_BEGINS_AT, recovers_at),
            ends_at=recovers_at + policy_settings.overload_duration,
            single_restarts=tuple(self.restarts(recovers_at, random)),
            resubmissions=RESUBMISSIONS,
            listed_rate_factor=random.uniform(1 / MAX_LISTED_RATE_FACTOR, MAX_LISTED_RATE_FACTOR),
            seed=self.seed,
            destinations=2,
        )

    def restarts(self, recovers_at: int, random: Random) -> Iterator[Restart]:
        """Yields the restarts: all at one time with an odd seed, else each at a time of its own."""
        if self.restart is None:
            return
        earliest = max(OUTAGE_BEGINS_AT, recovers_at - LATEST_RESTARTS)
        common = random.randint(earliest, recovers_at)
        for sender in random.sample(range(self.senders), max(1, round(RESTARTED_SHARE * self.senders))):
            at = common if self.seed % 2 else random.randint(earliest, recovers_at)
            yield Restart(at, sender, self.restart)

    def __str__(self) -> str:
        kind = "silent" if self.silent else "refuses"
        restart = self.restart.value if self.restart else "no restart"
        load = ("uneven" if self.uneven else "even") + (", late senders" if self.late else "")
        return (
            f"{self.site}, {self.senders} senders, {self.outage_s:g} s {kind}, {restart}, {load},"
            f" {self.capacity:g}/s, seed {self.seed}"
        )


def all_cases(seeds: int) -> Iterator[RecoveryCase]:
    """Yields the full cross, with `seeds` seeds of each combination."""
    for row in product(
        SITE_NAMES,
        SENDERS,
        OUTAGES_S,
        (False, True),
        RESTARTS,
        (False, True),
        (False, True),
        CAPACITIES,
        range(1, seeds + 1),
    ):
        yield RecoveryCase(*row)


def drawn_cases(site: str, senders: int, outage_s: float, count: int) -> Iterator[RecoveryCase]:
    """Yields `count` cases whose other properties are drawn at random, the same ones in each run."""
    random = Random(f"{site} {senders} {outage_s}")
    for number in range(count):
        yield RecoveryCase(
            site,
            senders,
            outage_s,
            silent=random.random() < 0.5,
            restart=random.choice(RESTARTS),
            uneven=random.random() < 0.5,
            late=random.random() < 0.5,
            capacity=random.choice(CAPACITIES),
            seed=number + 1,
        )
