"""The operators' JSON settings: their structure, their names, and the parser.

JSON names are defined only in this module. A field whose Python name differs from its JSON name declares the
JSON name by `field(name=...)`; all others differ only in hyphens. Times are milliseconds. A null value and a
missing key mean the same; unknown keys are ignored. `policy_settings.py` converts the parsed settings, and
`config/platform_document.py` produces the same structure from the sender's own configuration file.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from msgspec import Struct, ValidationError, convert, field

from ashpath.core.errors import InvalidSettingError
from ashpath.core.interface import RetrySafety
from ashpath.core.json_types import JsonObject

Number = int | float | None

RetrySafetyName = Literal["retryable", "dedup", "fragile"]
RETRY_SAFETY: dict[RetrySafetyName, RetrySafety] = {
    "retryable": RetrySafety.IDEMPOTENT,
    "dedup": RetrySafety.DEDUPLICATED,
    "fragile": RetrySafety.AT_MOST_ONCE,
}
WHOLE_DESTINATION = "all"  # the deduplication scope that includes all zones
HALVING_DECAY = "halves"
POLLED_DISCOVERY = "ask"
APPROXIMATE_RATE_SOURCES = ("rough", "nominal")

# Field names of load reports, and the transport that does not deliver load reports with responses.
REMAINING_QUOTA_FIELD = "x0"
RATE_LIMIT_FIELD = "x1"
PROBE_TRANSPORT = "probe"

# Lists of names whose positions are ids, and the columns under `specifics` that have the same order.
COLUMNS = {"kinds": ("kind-apart", "per-call"), "zones": ("carriage",)}


class TrafficClassRow(Struct, kw_only=True, rename="kebab"):
    """One traffic class. A standalone sender stores the encoded row: all keys are written, in this order."""

    name: str | None = None
    deadline: int | float
    latency_objective: Number = field(default=None, name="slo")
    retry_safety: RetrySafetyName = field(name="repeat")
    deduplication_window: Number = field(default=None, name="window")
    value: Number = field(default=None, name="importance")
    late_value_share: Number = field(default=None, name="late-worth")
    deduplication_scope: str | None = field(default=None, name="group")
    ordered: bool | None = field(default=None, name="one-at-a-time")


class PlatformLimits(Struct, rename="kebab", omit_defaults=True):
    """Limits on the sender, and the features that it may use."""

    queue_capacity: Number = field(default=None, name="max-open")
    max_attempts: Number = None
    may_cancel: bool | None = field(default=None, name="cancelling")
    clients_heed_retry_after: bool | None = field(default=None, name="retry-after")
    max_retry_after: Number = None
    connect_timeout: Number = None
    idle_timeout: Number = field(default=None, name="conn-idle")
    gossip_enabled: bool | None = field(default=None, name="may-tell")


class DestinationContract(Struct, rename="kebab", omit_defaults=True):
    """Guarantees of the destinations, and the load that they tolerate after an outage."""

    drain_grace: Number = None
    initial_capacity_share: Number = field(default=None, name="cold-from")
    warm_up_time: Number = field(default=None, name="ramp-time")
    overload_multiple: Number = field(default=None, name="fall-multiple")
    overload_duration: Number = field(default=None, name="fall")
    settle_time: Number = field(default=None, name="order-settle")
    poll_interval: Number = field(default=None, name="ask-every")


class Specifics(Struct, rename="kebab", omit_defaults=True):
    """Settings of this installation; columns have the order of `kinds` or `zones`."""

    max_in_flight: Number = field(default=None, name="slots")
    limit_per_endpoint: list[bool | None] | None = field(default=None, name="kind-apart")
    max_batch_size: list[Number] | None = field(default=None, name="per-call")
    value_decay: str | None = field(default=None, name="loses-worth")
    zone_costs: list[Number] | None = field(default=None, name="carriage")


class LoadInfo(Struct, rename="kebab", omit_defaults=True):
    """The transport of load reports, and the names of their fields in order."""

    transport: str | None = field(default=None, name="how")
    fields: list[str] | None = None


class PlatformSettings(Struct, rename="kebab", omit_defaults=True):
    """The settings document; keys that the sender does not use are not declared."""

    traffic_classes: list[TrafficClassRow] = field(name="classes")
    sender_index: Number = field(default=None, name="rank")
    sender_count: Number = field(default=None, name="group-size")
    destination_kinds: list[str] | None = field(default=None, name="kinds")
    zones: list[str] | None = None
    limits: PlatformLimits | None = None
    contract: DestinationContract | None = None
    specifics: Specifics | None = None
    load_info: LoadInfo | None = None
    discovery_mode: str | None = field(default=None, name="membership-mode")
    rate_source: str | None = field(default=None, name="weight-source")


class LoadReportFields(NamedTuple):
    """The positions of the values in the load report of a response."""

    remaining_quota: int
    rate_limit: int


def parse_settings(settings: JsonObject) -> PlatformSettings:
    """Parses the settings. Raises InvalidSettingError with the key if a setting has the wrong type.

    >>> parse_settings({"classes": [], "limits": {"max-open": None, "later": "x"}}).limits.queue_capacity
    >>> parse_settings({"classes": [], "limits": {"max-open": []}})  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ashpath...InvalidSettingError: settings.limits.max-open: expected `int | float | null`, got `array`
    """
    try:
        return convert(settings, PlatformSettings)
    except ValidationError as error:
        problem, _, path = str(error).partition(" - at ")
        key = path.strip("`").replace("$", "settings", 1) or "settings"
        raise InvalidSettingError(key, problem[:1].lower() + problem[1:]) from error


def load_report_fields(settings: JsonObject) -> LoadReportFields | None:
    """Returns the positions of the values in load reports; None if responses do not carry both values.

    >>> load_report_fields({"load-info": {"fields": ["qps", "x1", "x0"]}, "classes": []})
    LoadReportFields(remaining_quota=2, rate_limit=1)
    >>> load_report_fields({"load-info": {"how": "probe", "fields": ["x0", "x1"]}, "classes": []})
    """
    return find_load_report_fields(parse_settings(settings).load_info)


def find_load_report_fields(load_info: LoadInfo | None) -> LoadReportFields | None:
    """Same as `load_report_fields`, for parsed settings."""
    if load_info is None or load_info.transport == PROBE_TRANSPORT:
        return None
    fields = load_info.fields or []
    if REMAINING_QUOTA_FIELD not in fields or RATE_LIMIT_FIELD not in fields:
        return None
    return LoadReportFields(fields.index(REMAINING_QUOTA_FIELD), fields.index(RATE_LIMIT_FIELD))
