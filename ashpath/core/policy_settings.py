"""Converts the operators' JSON settings to `PolicySettings`, for both the bench adapter and the sender.

A missing or null setting means that the feature is not requested. Milliseconds are rounded to microseconds.
"""

from __future__ import annotations

from msgspec.structs import replace

from ashpath.core.interface import DestinationKindSettings, PolicySettings, TrafficClassSettings
from ashpath.core.json_types import JsonObject
from ashpath.core.platform_settings import (
    APPROXIMATE_RATE_SOURCES,
    HALVING_DECAY,
    POLLED_DISCOVERY,
    RETRY_SAFETY,
    WHOLE_DESTINATION,
    DestinationContract,
    PlatformLimits,
    PlatformSettings,
    Specifics,
    TrafficClassRow,
    find_load_report_fields,
    parse_settings,
)
from ashpath.core.time_units import microseconds


def policy_settings(seed: int, settings: JsonObject) -> PolicySettings:
    """Returns the policy's settings for the bench adapter. Raises InvalidSettingError."""
    parsed = parse_settings(settings)
    limits = parsed.limits or PlatformLimits()
    contract = parsed.contract or DestinationContract()
    specifics = parsed.specifics or Specifics()
    polls = parsed.discovery_mode == POLLED_DISCOVERY
    return PolicySettings(
        seed=seed,
        sender_index=int(parsed.sender_index or 0),
        sender_count=max(1, int(parsed.sender_count or 1)),
        max_in_flight=max(1, int(specifics.max_in_flight or 0)),
        queue_capacity=int(limits.queue_capacity or 0),
        max_attempts=int(limits.max_attempts or 0),
        may_cancel=bool(limits.may_cancel),
        max_retry_after=microseconds(limits.max_retry_after) if limits.clients_heed_retry_after else 0,
        connect_timeout=microseconds(limits.connect_timeout),
        idle_timeout=microseconds(limits.idle_timeout),
        reports_full_connection_table=False,
        traffic_classes=tuple(traffic_class_settings(row) for row in parsed.traffic_classes),
        destination_kinds=destination_kind_settings(parsed, specifics),
        value_halves=specifics.value_decay == HALVING_DECAY,
        drain_grace=microseconds(contract.drain_grace),
        initial_capacity_share=contract.initial_capacity_share or 0.0,
        warm_up_time=microseconds(contract.warm_up_time),
        overload_multiple=contract.overload_multiple or 0.0,
        overload_duration=microseconds(contract.overload_duration),
        settle_time=microseconds(contract.settle_time),
        poll_interval=microseconds(contract.poll_interval) if polls else 0,
        has_load_reports=find_load_report_fields(parsed.load_info) is not None,
        has_listed_rates=parsed.rate_source in APPROXIMATE_RATE_SOURCES,
        gossip_enabled=bool(limits.gossip_enabled),
        zone_costs=tuple(float(cost or 0) for cost in specifics.zone_costs or ()),
    )


def sender_settings(seed: int, settings: JsonObject) -> PolicySettings:
    """Returns the policy's settings for the sender on sockets. Raises InvalidSettingError.

    In that sender a call carries one message, responses reveal a full connection table, and the discovery
    client polls without the policy.
    """
    converted = policy_settings(seed, settings)
    kinds = tuple(replace(kind, max_batch_size=1) for kind in converted.destination_kinds)
    return replace(converted, reports_full_connection_table=True, poll_interval=0, destination_kinds=kinds)


def traffic_class_settings(row: TrafficClassRow) -> TrafficClassSettings:
    """Converts one row of traffic class settings."""
    return TrafficClassSettings(
        value=1.0 if row.value is None else float(row.value),
        latency_objective=microseconds(row.latency_objective or row.deadline),
        deadline=microseconds(row.deadline),
        retry_safety=RETRY_SAFETY[row.retry_safety],
        deduplication_window=microseconds(row.deduplication_window),
        deduplicates_across_zones=(row.deduplication_scope or WHOLE_DESTINATION) == WHOLE_DESTINATION,
        late_value_share=row.late_value_share or 0.0,
        ordered=bool(row.ordered),
    )


def destination_kind_settings(
    settings: PlatformSettings, specifics: Specifics
) -> tuple[DestinationKindSettings, ...]:
    """Returns one row per kind, in the order of ids; a short column is filled with its default."""
    per_endpoint = specifics.limit_per_endpoint or []
    batch_sizes = specifics.max_batch_size or []
    count = max(len(settings.destination_kinds or []), len(per_endpoint), len(batch_sizes), 1)
    return tuple(
        DestinationKindSettings(
            limit_per_endpoint=bool(per_endpoint[kind]) if kind < len(per_endpoint) else False,
            max_batch_size=max(1, int(batch_sizes[kind] or 1)) if kind < len(batch_sizes) else 1,
        )
        for kind in range(count)
    )
