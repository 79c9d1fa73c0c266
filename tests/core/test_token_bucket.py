"""Token bucket: the time at which the next call may start."""

from __future__ import annotations

from ashpath.core.time_units import SECOND
from ashpath.core.token_bucket import TokenBucket


def test_full_bucket_allows_call_at_once() -> None:
    assert TokenBucket().available_at(0, rate=1.0, capacity=1.0) is None


def test_empty_bucket_returns_time_of_next_token() -> None:
    bucket = TokenBucket(updated_at=0, tokens=0.0)
    assert bucket.available_at(0, rate=2.0, capacity=1.0) == SECOND // 2 + 1
    assert bucket.available_at(SECOND // 2 + 1, rate=2.0, capacity=1.0) is None


def test_negative_tokens_delay_next_call() -> None:
    bucket = TokenBucket(updated_at=0, tokens=-1.0)
    assert bucket.available_at(0, rate=1.0, capacity=1.0) == 2 * SECOND + 1


def test_future_refill_time_delays_first_token() -> None:
    bucket = TokenBucket(updated_at=3 * SECOND, tokens=1.0)
    assert bucket.available_at(0, rate=1.0, capacity=1.0) == 3 * SECOND + 1


def test_capacity_limits_tokens_after_idle_time() -> None:
    bucket = TokenBucket(updated_at=0, tokens=0.0)
    bucket.available_at(100 * SECOND, rate=1.0, capacity=1.5)
    assert bucket.tokens == 1.5
