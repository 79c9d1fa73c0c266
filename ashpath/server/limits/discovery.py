"""Limits of service discovery: times of its polls, and of the pauses between them."""

from __future__ import annotations

from msgspec import Struct


class DiscoveryLimits(Struct, frozen=True):
    """Times of polls, of pauses after failed polls, of the lease on the endpoint list, and of the start."""

    watch_s: float = 2.0
    """Time for which the service holds a watch open."""
    watch_grace_s: float = 0.6
    """Additional time before the sender gives up a watch."""
    snapshot_s: float = 1.0
    """The minimum timeout of a poll for a snapshot, which the service answers at once."""
    pushed_snapshot_s: float = 0.2
    """The timeout of a poll for a snapshot if the platform pushes lists. The agent then either answers at
    once and at no cost, or is down. The list that it has when it comes back counts as reported at once, and a
    poll sent before is not answered, so that the next poll must follow soon."""
    pushed_pause_s: float = 0.1
    """The longest pause after a poll without a response if the platform pushes lists."""
    late_poll_s: float = 4.0
    """Time from the start of a poll during which a late response is still read, after the next poll may have
    begun."""
    list_lease_s: float = 5.4
    """Time within which the endpoint list is read again. With the duration of a poll, the total stays below
    the 6 s in which a change counts as reported."""
    moved_list_lease_s: float = 3.4
    """The same time after the address of the service has changed: below 4 s."""
    discovery_backoff_s: float = 0.5
    """The longest pause between polls of a service that does not respond."""
    discovery_rejected_backoff_s: float = 4.5
    """The longest pause between polls of a service that rejects them, after the end of a lease."""
    discovery_jitter: float = 2 / 3
    """The random share of a pause after a rejected poll."""
    first_poll_spacing_s: float = 0.05
    """Time between the first polls of a fleet's senders, in the order of their numbers. All first polls are
    within the duration of one watch."""
    initial_snapshot_s: float = 0.25
    """Timeout of a poll at the start, before any attempt, if the platform pushes lists."""
    initial_silence_s: float = 0.7
    """Time at the start after which a service that does not respond is taken to have no list. The sender then
    uses the configuration's list."""
    initial_snapshots_s: float = 3.0
    """Time at the start during which a service that fails in another way is polled. It is well below the 10 s
    within which a sender has to be ready."""
