"""Running statistics: means from the first value on, event rates, and decaying shares."""

from __future__ import annotations

import pytest

from ashpath.core.statistics import DecayingShare, EventRate, RunningStatistics
from ashpath.core.time_units import SECOND


def test_first_values_give_arithmetic_mean() -> None:
    durations = RunningStatistics(min_gain=0.1)
    for value in (10, 20, 30):
        durations.add(value)
    assert durations.mean == pytest.approx(20)
    assert durations.count == 3


def test_later_values_have_minimum_gain() -> None:
    durations = RunningStatistics(min_gain=0.5)
    for value in (0, 0, 0, 8):
        durations.add(value)
    assert durations.mean == pytest.approx(4)


@pytest.mark.parametrize("seconds", [5, 10, 60])
def test_steady_event_rate_is_unbiased_from_half_a_window_on(seconds: int) -> None:
    rate = EventRate(window_us=10 * SECOND, started_at=0)
    for tenth in range(1, 10 * seconds + 1):
        rate.add(tenth * SECOND // 10)
    assert rate.rate() == pytest.approx(10, rel=0.02)
    assert rate.uncorrected_rate() <= rate.rate()


def test_skipped_pause_does_not_change_rate() -> None:
    rate = EventRate(window_us=10 * SECOND, started_at=0)
    for second in range(1, 6):
        rate.add(second * SECOND)
    before = rate.rate()
    rate.skip(50 * SECOND)
    assert rate.rate() == pytest.approx(before)


def test_share_decays_over_time_and_by_uncounted_events() -> None:
    share = DecayingShare(gain=0.5, updated_at=0)
    assert share.add(0) == 0.5
    assert share.add(SECOND) == pytest.approx(0.375 + 0.5 * 0.625)
    share.share = 0.5
    share.reduce()
    assert share.share == 0.25
