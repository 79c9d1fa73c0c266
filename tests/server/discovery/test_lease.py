"""One deadline over all failures in a row."""

from __future__ import annotations

from itertools import product

import pytest
from support.world import LIMITS

from ashpath.server.discovery.lease import ListLease

# How long a failed poll takes at the most, and whether the agent rejected it.
FAILURES = {"silent": (None, False), "reset": (0.0, False), "rejected": (0.05, True)}


@pytest.mark.parametrize("mixture", product(FAILURES, repeat=2), ids="-".join)
@pytest.mark.parametrize("moved", [False, True])
def test_after_any_two_failures_a_poll_begins_within_the_lease(
    mixture: tuple[str, ...], *, moved: bool
) -> None:
    """Behind a silent watch, or a move; with the longest pauses that backoffs draw."""
    lease = ListLease(0.0, LIMITS.list_lease_s)
    now = 0.0 if moved else LIMITS.watch_s + LIMITS.watch_grace_s
    if moved:
        lease.shorten(0.0, LIMITS.moved_list_lease_s)
    else:
        now += lease.silent_pause(now, LIMITS.retry_s)
    for failure in mixture:
        lasts_s, rejected = FAILURES[failure]
        now += max(LIMITS.snapshot_s, lease.left(now) / 2) if lasts_s is None else lasts_s
        pause = lease.rejected_pause(now, 4.5, 1.0) if rejected else lease.silent_pause(now, 0.2)
        now += pause
    allowed = 4.0 if moved else 6.0
    assert now < allowed - 0.2


def test_a_lease_that_is_over_begins_anew_with_silence_and_not_with_a_rejection() -> None:
    lease = ListLease(0.0, 5.0)
    assert lease.rejected_pause(6.0, 4.5, 0.5) == 4.5
    assert lease.left(6.0) < 0
    assert lease.silent_pause(6.0, 0.5) == 0.5
    assert lease.left(6.0) == 5.0
    lease.renew(7.0)
    assert lease.left(7.0) == 5.0


def test_a_move_never_lengthens_a_lease() -> None:
    lease = ListLease(0.0, 5.0)
    lease.shorten(4.0, 3.0)
    assert lease.left(4.0) == 1.0
    lease.shorten(6.0, 3.0)
    assert lease.left(6.0) == 3.0
