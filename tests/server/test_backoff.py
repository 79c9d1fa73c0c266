"""Pauses between retries."""

from __future__ import annotations

from random import Random

import pytest

from ashpath.server.backoff import Backoff


def test_pauses_double_from_minimum_to_maximum() -> None:
    backoff = Backoff(Random(1), min_s=0.1, max_s=0.8, jitter=0.0)
    assert [backoff.next_pause() for _ in range(5)] == pytest.approx([0.1, 0.2, 0.4, 0.8, 0.8])


def test_reset_returns_to_minimum_pause() -> None:
    backoff = Backoff(Random(1), min_s=0.1, max_s=0.8, jitter=0.0)
    backoff.next_pause()
    backoff.next_pause()
    backoff.reset()
    assert backoff.next_pause() == pytest.approx(0.1)


@pytest.mark.parametrize("seed", range(20))
def test_default_jitter_draws_upper_half_of_pause(seed: int) -> None:
    assert 0.5 <= Backoff(Random(seed), min_s=1.0, max_s=1.0).next_pause() <= 1.0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(("retry_after_s", "min_pause_s"), [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (600.0, 3.0)])
def test_retry_after_is_honored_up_to_two_thirds_of_maximum(
    seed: int, retry_after_s: float, min_pause_s: float
) -> None:
    pause = Backoff(Random(seed), min_s=0.1, max_s=0.8, max_retry_after_s=4.5).next_pause(retry_after_s)
    assert min_pause_s <= pause <= 4.5


def test_pause_stays_at_maximum_after_many_failures() -> None:
    backoff = Backoff(Random(1), min_s=0.1, max_s=0.8, jitter=0.0)
    assert [backoff.next_pause() for _ in range(2000)][-1] == pytest.approx(0.8)
