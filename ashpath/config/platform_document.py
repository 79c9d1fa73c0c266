"""Converts the sender's own file to the platform's form, so that each setting is interpreted in one place.

The settings are built as the same structs that `core/platform_settings.py` parses, which define the JSON
names. The rest of the form is what a platform's file has around the settings.
"""

from __future__ import annotations

from itertools import chain
from pathlib import Path

import msgspec

from ashpath.config.endpoints import endpoint_id, endpoints_as_tables
from ashpath.config.file_document import file_document
from ashpath.config.schema import Configuration, Rules, TrafficClass
from ashpath.config.units import HttpTarget, parse_http_url
from ashpath.core.interface import RetrySafety
from ashpath.core.json_types import JsonObject
from ashpath.core.platform_settings import (
    RATE_LIMIT_FIELD,
    REMAINING_QUOTA_FIELD,
    RETRY_SAFETY,
    WHOLE_DESTINATION,
    DestinationContract,
    LoadInfo,
    PlatformLimits,
    PlatformSettings,
    RetrySafetyName,
    Specifics,
    TrafficClassRow,
)
from ashpath.core.time_units import SECOND, milliseconds

FILE_RETRY_SAFETY_NAMES = {
    RetrySafety.IDEMPOTENT: "repeatable",
    RetrySafety.DEDUPLICATED: "tagged",
    RetrySafety.AT_MOST_ONCE: "once-only",
}
PLATFORM_RETRY_SAFETY_NAMES: dict[str, RetrySafetyName] = {
    FILE_RETRY_SAFETY_NAMES[retry_safety]: name for name, retry_safety in RETRY_SAFETY.items()
}
NOTIFICATION_PATH = "/v1/notices"  # on the platform's address


def platform_document(configuration: Configuration, seed: str) -> JsonObject:
    """Returns the document of a platform's file.

    The table `own` of `limits` is an addition, with the limits that only the sender's own file sets.
    """
    return {
        "seed": seed,
        "settings": msgspec.to_builtins(platform_settings(configuration)),
        "limits": {
            "sockets": configuration.limits.descriptors,
            "memory_mb": configuration.limits.memory / 1e6,
            "disk_mb": configuration.limits.disk / 1e6,
            "own": own_limits(configuration),
        },
        "known": {"revision": 0, "complete": True, "members": endpoint_list(configuration)},
        "discovery": configuration.platform.directory if configuration.platform else "",
        "metrics": file_document(configuration.metrics) if configuration.metrics else {},
        "peers": file_document(configuration.peers) if configuration.peers else {},
    }


def platform_settings(configuration: Configuration) -> PlatformSettings:
    """Returns the settings of the sender. Times are milliseconds."""
    rules = configuration.rules
    zones = zone_names(configuration)
    costs = {str(name): zone.cost for name, zone in configuration.zones.items() if zone.cost}
    has_reports = rules.has_load_reports
    return PlatformSettings(
        sender_index=configuration.sender.number,
        sender_count=configuration.sender.senders,
        traffic_classes=[traffic_class_row(name, row) for name, row in configuration.traffic_classes.items()],
        destination_kinds=[str(name) for name in configuration.kinds],
        zones=zones,
        limits=platform_limits(configuration),
        contract=destination_contract(rules),
        specifics=Specifics(
            max_in_flight=rules.max_in_flight,
            limit_per_endpoint=[kind.limit_per_endpoint for kind in configuration.kinds.values()],
            value_decay=rules.value_decay,
            zone_costs=[costs.get(name, 0.0) for name in zones] if costs else [],
        ),
        rate_source="rough" if rules.has_listed_rates else "none",
        load_info=LoadInfo("answers", [REMAINING_QUOTA_FIELD, RATE_LIMIT_FIELD]) if has_reports else None,
    )


def traffic_class_row(name: str, traffic_class: TrafficClass) -> TrafficClassRow:
    """Returns the settings of one traffic class."""
    objective = traffic_class.latency_objective
    return TrafficClassRow(
        name=str(name),
        deadline=milliseconds(traffic_class.deadline),
        latency_objective=None if objective is None else milliseconds(objective),
        retry_safety=PLATFORM_RETRY_SAFETY_NAMES[traffic_class.retry_safety],
        deduplication_window=milliseconds(traffic_class.deduplication_window),
        value=traffic_class.value,
        late_value_share=traffic_class.late_value_share,
        deduplication_scope=WHOLE_DESTINATION if traffic_class.deduplicates_across_zones else "zone",
        ordered=traffic_class.ordered,
    )


def platform_limits(configuration: Configuration) -> PlatformLimits:
    """Returns the limits that the sender observes."""
    rules = configuration.rules
    return PlatformLimits(
        queue_capacity=configuration.limits.queue_capacity,
        max_attempts=rules.max_attempts,
        may_cancel=rules.may_cancel,
        clients_heed_retry_after=rules.max_retry_after > 0,
        max_retry_after=milliseconds(rules.max_retry_after),
        connect_timeout=milliseconds(rules.connect_timeout),
        idle_timeout=milliseconds(rules.idle_timeout),
        gossip_enabled=configuration.peers is not None,
    )


def destination_contract(rules: Rules) -> DestinationContract:
    """Returns the assumptions about the capacity of destinations and about endpoints that drain."""
    return DestinationContract(
        drain_grace=milliseconds(rules.drain_grace),
        initial_capacity_share=rules.initial_capacity_share,
        warm_up_time=milliseconds(rules.warm_up_time),
        overload_multiple=rules.overload_multiple,
        overload_duration=milliseconds(rules.overload_duration),
        settle_time=milliseconds(rules.settle_time),
    )


def own_limits(configuration: Configuration) -> dict[str, float]:
    """Returns the limits of the process that a platform's file cannot set, by the keys of
    `ServerLimits.with_fields`."""
    limits = configuration.limits
    own = {
        "body_bytes": int(limits.body),
        "head_bytes": int(limits.head),
        "request_s": limits.request_timeout / SECOND,
        "client_idle_s": limits.client_idle_timeout / SECOND,
        "outcome_store_bytes": int(configuration.outcomes.max_bytes),
        "outcome_retention_s": configuration.outcomes.retention / SECOND,
        "notification_file_bytes": int(configuration.notifications.max_file_size),
        "notification_files": configuration.notifications.kept_files,
    }
    if configuration.platform is None:
        # The file is the complete endpoint list, so no replacement endpoint is listed late: a destination
        # without endpoints is forgotten at once.
        own["forget_destination_s"] = 0.0
    if limits.idle_client_connections:
        own["idle_client_connections"] = limits.idle_client_connections
    return own


def zone_names(configuration: Configuration) -> list[str]:
    """Returns every zone that the file names, each once, in the order of the file."""
    endpoints = chain.from_iterable(map(endpoints_as_tables, configuration.destinations.values()))
    names = [*map(str, configuration.zones), *(endpoint.zone for endpoint in endpoints)]
    return list(dict.fromkeys(names)) or [""]


def endpoint_list(configuration: Configuration) -> list[JsonObject]:
    """Returns the endpoints of the file, as rows of an endpoint list from service discovery."""
    first_kind = next(iter(configuration.kinds))
    return [
        {
            "id": endpoint_id(number, endpoint),
            "host_port": str(endpoint.address),
            "locality": endpoint.zone,
            "flavor": destination.kind or first_kind,
            "cell": number,
            "phase": "draining" if endpoint.draining else "up",
            "size": endpoint.rate or destination.rate,
        }
        for number, destination in configuration.destinations.items()
        for endpoint in endpoints_as_tables(destination)
    ]


def notification_target(configuration: Configuration) -> HttpTarget | None:
    """Returns the HTTP target of notifications, or None if they go to a file or are not sent."""
    notifications = configuration.notifications
    if notifications.address:
        return parse_http_url(notifications.address)
    if configuration.platform and not notifications.file:
        return HttpTarget(configuration.platform.directory, NOTIFICATION_PATH)
    return None


def resolve_path(base: Path, path: str) -> Path:
    """Returns the absolute path; a relative path is resolved against the directory `base`."""
    return (base / path).absolute()
