"""When a token bucket lets the next call pass."""

from __future__ import annotations

from ashpath.core.statistics import SECOND
from ashpath.core.token_bucket import TokenBucket


def test_a_full_bucket_lets_a_call_pass() -> None:
    assert TokenBucket().available_at(0, rate=1.0, capacity=1.0) is None


def test_an_empty_one_says_when() -> None:
    bucket = TokenBucket(updated_at=0, tokens=0.0)
    assert bucket.available_at(0, rate=2.0, capacity=1.0) == SECOND // 2 + 1
    assert bucket.available_at(SECOND // 2 + 1, rate=2.0, capacity=1.0) is None


def test_tokens_owed_are_waited_for() -> None:
    bucket = TokenBucket(updated_at=0, tokens=-1.0)
    assert bucket.available_at(0, rate=1.0, capacity=1.0) == 2 * SECOND + 1


def test_a_time_to_come_delays_the_first_token() -> None:
    bucket = TokenBucket(updated_at=3 * SECOND, tokens=1.0)
    assert bucket.available_at(0, rate=1.0, capacity=1.0) == 3 * SECOND + 1


def test_capacity_bounds_what_a_pause_saves() -> None:
    bucket = TokenBucket(updated_at=0, tokens=0.0)
    bucket.available_at(100 * SECOND, rate=1.0, capacity=1.5)
    assert bucket.tokens == 1.5
