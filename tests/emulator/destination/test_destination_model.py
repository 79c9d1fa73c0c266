"""The model of a destination in simulated time: queue, idempotency keys, faults, slow start, collapse, pauses
and rate limits."""

from __future__ import annotations

from random import Random

import pytest

from ashpath.core.time_units import SECOND
from ashpath.emulator.destination.calls import CallResult, DestinationCall
from ashpath.emulator.destination.faults import Fault
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.destination.properties import DestinationProperties
from ashpath.emulator.units import NEVER

PLAIN = DestinationProperties(
    workers=2, service_times=(SECOND,), service_time_sigma=0, queue_capacity=1, slow_start_time=10 * SECOND
)


def model_of(properties: DestinationProperties) -> DestinationModel:
    return DestinationModel(properties, Random(1), ["e"])


def arrive(model: DestinationModel, now: int, request: str, key: str | None = None) -> DestinationCall:
    return model.call_arrived(now, "e", request, 0, key, False)


def test_call_beyond_queue_capacity_is_rejected_as_overload() -> None:
    model = model_of(PLAIN)
    calls = [arrive(model, 0, f"w{n}", "key") for n in range(4)]
    assert [call.responds_after for call in calls] == [SECOND, SECOND, 2 * SECOND, 0]
    assert calls[3].result is CallResult.OVERLOADED


def test_repeated_key_has_no_effect_within_deduplication_window() -> None:
    model = model_of(PLAIN)
    for n in range(4):
        arrive(model, 0, f"w{n}", "key")
    assert [model.tallies[f"w{n}"].effects for n in range(3)] == [1, 0, 0], "duplicates have no effect"
    assert arrive(model, 5 * SECOND, "w1", "key").has_effect
    assert model.tallies["w1"].overlapped


def test_outage_leads_to_slow_start_and_overload_to_collapse() -> None:
    model = model_of(PLAIN)
    for fault, effects in ((Fault.SILENT, 0), (Fault.HUNG, 1)):
        model.add_fault(fault, 1.0)
        assert arrive(model, 6 * SECOND, fault.value).responds_after == NEVER
        assert model.is_unresponsive(6 * SECOND)
        assert model.tallies[fault.value].effects == effects
        model.remove_fault(fault, 1.0, 8 * SECOND)
    assert model.speed(8 * SECOND) == 0.2
    assert round(model.speed(13 * SECOND), 6) == 0.6
    assert arrive(model, 8 * SECOND, "cold").responds_after == 5 * SECOND
    few = [arrive(model, 9 * SECOND, f"few{n}") for n in range(3)]
    assert not any(call.result is CallResult.NO_RESPONSE for call in few)
    late = [arrive(model, 11_500_000 + n, f"many{n}") for n in range(9)]
    assert model.collapses == 1
    assert late[-1].result is CallResult.NO_RESPONSE
    assert model.is_unresponsive(12 * SECOND)


def test_abandoned_call_leaves_queue_without_effect() -> None:
    model = model_of(
        DestinationProperties(
            workers=1, service_times=(SECOND,), service_time_sigma=0, completes_abandoned_calls=False
        )
    )
    arrive(model, 0, "a")
    call = arrive(model, 0, "b")
    model.call_ended(SECOND // 2, call, "b")
    assert model.tallies["b"].effects == 0, "an abandoned call is not executed"


def test_call_during_pause_starts_at_end_of_pause() -> None:
    model = model_of(
        DestinationProperties(
            service_times=(1000,), service_time_sigma=0, pause_interval=SECOND, pause_time=SECOND // 5
        )
    )
    assert arrive(model, 5 * SECOND + 100, "p").responds_after == SECOND // 5 - 100 + 1000


# Properties of a rate limit, and the smallest and largest number of calls that it may admit of 40 that arrive
# every 50 ms for two seconds.
RATE_LIMIT_CASES = [
    (DestinationProperties(rate_limit=4.0), 8, 10),
    (DestinationProperties(rate_limit=4.0, rate_window=SECOND), 8, 8),
    (DestinationProperties(rate_limit=4.0, rate_window=SECOND, rate_window_slides=True), 8, 8),
    (DestinationProperties(rate_limit=4.0, counts_rejected_calls=True), 1, 4),
    (
        DestinationProperties(
            rate_limit=4.0, rate_window=SECOND, rate_window_slides=True, counts_rejected_calls=True
        ),
        4,
        4,
    ),
]


@pytest.mark.parametrize(("rate_limited", "least", "most"), RATE_LIMIT_CASES)
def test_rate_limit_admits_expected_number_of_calls(
    rate_limited: DestinationProperties, least: int, most: int
) -> None:
    model = model_of(
        DestinationProperties(
            workers=50,
            service_times=(1000,),
            sends_load_reports=True,
            retry_after=7,
            rate_limit=rate_limited.rate_limit,
            rate_window=rate_limited.rate_window,
            rate_window_slides=rate_limited.rate_window_slides,
            counts_rejected_calls=rate_limited.counts_rejected_calls,
        )
    )
    calls = [arrive(model, n * SECOND // 20, f"w{n}") for n in range(40)]
    admitted = sum(call.result is CallResult.OK for call in calls)
    assert least <= admitted <= most
    assert all(call.retry_after == 7 for call in calls if call.result is CallResult.OVERLOADED)
    assert all(0 <= call.remaining_quota <= 1 and call.rate_limit == 4.0 for call in calls)
