"""Endpoint list lease: one deadline for all consecutive failures."""

from __future__ import annotations

from itertools import product

import pytest
from support.sender_harness import LIMITS

from ashpath.server.discovery.lease import ListLease

# Longest duration of a failed poll in seconds (None: its timeout), and whether the agent rejected it.
FAILURES = {"silent": (None, False), "reset": (0.0, False), "rejected": (0.05, True)}


@pytest.mark.parametrize("mixture", product(FAILURES, repeat=2), ids="-".join)
@pytest.mark.parametrize("moved", [False, True])
def test_next_poll_begins_within_lease_after_any_two_failures(
    mixture: tuple[str, ...], *, moved: bool
) -> None:
    """After a silent watch or a change of address, with the longest pauses of the backoffs."""
    lease = ListLease(0.0, LIMITS.discovery.list_lease_s)
    now = 0.0 if moved else LIMITS.discovery.watch_s + LIMITS.discovery.watch_grace_s
    if moved:
        lease.shorten(0.0, LIMITS.discovery.moved_list_lease_s)
    else:
        now += lease.pause_after_silence(now, LIMITS.services.retry_s)
    for failure in mixture:
        lasts_s, rejected = FAILURES[failure]
        now += max(LIMITS.discovery.snapshot_s, lease.remaining(now) / 2) if lasts_s is None else lasts_s
        pause = (
            lease.pause_after_rejection(now, 4.5, 1.0) if rejected else lease.pause_after_silence(now, 0.2)
        )
        now += pause
    allowed = 4.0 if moved else 6.0
    assert now < allowed - 0.2


def test_silence_restarts_expired_lease_but_rejection_does_not() -> None:
    lease = ListLease(0.0, 5.0)
    assert lease.pause_after_rejection(6.0, 4.5, 0.5) == 4.5
    assert lease.remaining(6.0) < 0
    assert lease.pause_after_silence(6.0, 0.5) == 0.5
    assert lease.remaining(6.0) == 5.0
    lease.renew(7.0)
    assert lease.remaining(7.0) == 5.0


def test_move_never_lengthens_the_lease() -> None:
    lease = ListLease(0.0, 5.0)
    lease.shorten(4.0, 3.0)
    assert lease.remaining(4.0) == 1.0
    lease.shorten(6.0, 3.0)
    assert lease.remaining(6.0) == 3.0
