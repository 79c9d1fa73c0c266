"""The division of memory, and the choice of requests that give theirs back."""

from __future__ import annotations

import pytest

from ashpath.policy.memory_budget import (
    CONNECTION_BYTES,
    MemoryShares,
    RequestInProgress,
    divide,
    message_cost,
    reclaimed,
    request_limit,
)

MB = 1_000_000
SHARES = MemoryShares(client_connections=10, request_bytes=800, response_bytes=100, message_bytes=100)


def request(number: int, progress: int, *, held: int = 100, accepted: bool = False) -> RequestInProgress:
    return RequestInProgress(number, 1.0, held, progress, accepted)


@pytest.mark.parametrize("limit_mb", [34, 48, 64, 96, 192, 1000])
@pytest.mark.parametrize("processes", [1, 2])
def test_shares_and_processes_together_stay_within_limit(limit_mb: int, processes: int) -> None:
    """Guards against shares that are each reasonable and together too much; what does not even hold the
    processes themselves is left with the least shares."""
    resident, private = 34 * MB, 20 * MB
    shares = divide(limit_mb * MB, resident, private, processes)
    parts = shares.request_bytes + shares.response_bytes + shares.message_bytes
    held = parts + shares.client_connections * CONNECTION_BYTES
    free = limit_mb * MB - resident - (processes - 1) * private
    assert processes * held <= max(processes * 2 * MB, free)
    assert shares.client_connections >= 48


def test_clients_with_accepted_messages_keep_part_of_memory() -> None:
    assert request_limit(SHARES, has_accepted_messages=True) == 800
    assert request_limit(SHARES, has_accepted_messages=False) == 600


def test_least_progress_gives_way_first_and_accepted_clients_last() -> None:
    requests = [request(1, 50), request(2, 10), request(3, 1, accepted=True), request(4, 30)]
    assert [one.connection_id for one in reclaimed(requests, 100, SHARES)] == [2]
    assert [one.connection_id for one in reclaimed(requests, 350, SHARES)] == [2, 4, 1, 3]


def test_nothing_is_given_up_if_it_is_not_enough() -> None:
    """Guards against requests that are lost for one that gets no memory all the same."""
    assert reclaimed([request(1, 50), request(2, 10)], 201, SHARES) == []


def test_messages_cost_more_than_their_records() -> None:
    assert message_cost(1000, 600_000) == 3_248_000
