"""The operators' settings as `Terms`: one place for the bench's front and for the sender on sockets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Literal

from msgspec import Struct, ValidationError, convert

from ashpath.core.interface import DestinationKindSettings, PolicySettings, RetrySafety, TrafficClassSettings

RETRY_SAFETY = {
    "retryable": RetrySafety.IDEMPOTENT,
    "dedup": RetrySafety.DEDUPLICATED,
    "fragile": RetrySafety.AT_MOST_ONCE,
}


def microseconds(milliseconds: float | None) -> int:
    """Whole microseconds; an absent value counts as none.

    >>> microseconds(8412.25), microseconds(0.0005), microseconds(None)
    (8412250, 0, 0)
    """
    return round(milliseconds * 1000) if milliseconds else 0


def milliseconds(microseconds: int) -> float:
    """Milliseconds as the outside wants them.

    >>> milliseconds(8412250)
    8412.25
    """
    return microseconds / 1000


class InvalidSettingError(ValueError):
    """A setting that cannot be used; its words name the key."""


Number = int | float | None  # null and a missing key are one


class TrafficClassRow(Struct, rename="kebab"):
    """One track, as the settings have it."""

    deadline: int | float
    repeat: Literal["retryable", "dedup", "fragile"]
    name: str | None = None
    slo: Number = None
    importance: Number = None
    window: Number = None
    group: str | None = None
    late_worth: Number = None
    one_at_a_time: bool | None = None


class PlatformLimits(Struct, rename="kebab"):
    max_open: Number = None
    max_attempts: Number = None
    cancelling: bool | None = None
    retry_after: bool | None = None
    max_retry_after: Number = None
    connect_timeout: Number = None
    conn_idle: Number = None
    may_tell: bool | None = None


class DestinationContract(Struct, rename="kebab"):
    drain_grace: Number = None
    cold_from: Number = None
    ramp_time: Number = None
    fall_multiple: Number = None
    fall: Number = None
    order_settle: Number = None
    ask_every: Number = None


class Specifics(Struct, rename="kebab"):
    slots: Number = None
    kind_apart: list[bool | None] | None = None
    per_call: list[Number] | None = None
    loses_worth: str | None = None
    carriage: list[Number] | None = None


class LoadInfo(Struct, rename="kebab"):
    how: str | None = None
    fields: list[str] | None = None


class PlatformSettings(Struct, rename="kebab"):
    """The settings that are read; what else they have is skipped."""

    classes: list[TrafficClassRow]
    rank: Number = None
    group_size: Number = None
    kinds: list[str] | None = None
    zones: list[str] | None = None
    limits: PlatformLimits | None = None
    contract: DestinationContract | None = None
    specifics: Specifics | None = None
    load_info: LoadInfo | None = None
    membership_mode: str | None = None
    weight_source: str | None = None


def parse_settings(facts: dict[str, Any]) -> PlatformSettings:
    """Raises Unfit, which names the key, where a setting has a wrong type.

    >>> parse_settings({"classes": [], "limits": {"max-open": None, "later": "x"}}).limits.max_open
    >>> parse_settings({"classes": [], "limits": {"max-open": []}})  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ashpath...InvalidSettingError: settings.limits.max-open: expected `int | float | null`, got `array`
    """
    try:
        return convert(facts, PlatformSettings)
    except ValidationError as error:
        wanted, _, place = str(error).partition(" - at ")
        key = place.strip("`").replace("$", "settings", 1) or "settings"
        raise InvalidSettingError(f"{key}: {wanted[:1].lower()}{wanted[1:]}") from None


def load_report_fields(facts: dict[str, Any]) -> tuple[int, int] | None:
    """Where an answer's report has the share of the limit that is left, and the limit; None if none tells.

    >>> load_report_fields({"load-info": {"fields": ["qps", "x1", "x0"]}, "classes": []})
    (2, 1)
    >>> load_report_fields({"load-info": {"how": "probe", "fields": ["x0", "x1"]}, "classes": []})
    """
    return report_fields(parse_settings(facts).load_info or LoadInfo())


def report_fields(info: LoadInfo) -> tuple[int, int] | None:
    fields = info.fields or []
    answered = info.how != "probe" and {"x0", "x1"} <= set(fields)
    return (fields.index("x0"), fields.index("x1")) if answered else None


def policy_settings(seed: int, facts: dict[str, Any]) -> PolicySettings:
    """The settings; whatever is missing or null counts as not asked for, what is unknown is skipped."""
    told = parse_settings(facts)
    limits, rules = told.limits or PlatformLimits(), told.contract or DestinationContract()
    own = told.specifics or Specifics()
    apart, per_call = own.kind_apart or [], own.per_call or []
    kinds = max(len(told.kinds or []), len(apart), len(per_call), 1)
    return PolicySettings(
        seed=seed,
        sender_index=int(told.rank or 0),
        sender_count=max(1, int(told.group_size or 1)),
        max_in_flight=max(1, int(own.slots or 0)),
        queue_capacity=int(limits.max_open or 0),
        max_attempts=int(limits.max_attempts or 0),
        may_cancel=bool(limits.cancelling),
        max_retry_after=microseconds(limits.max_retry_after) if limits.retry_after else 0,
        connect_timeout=microseconds(limits.connect_timeout),
        idle_timeout=microseconds(limits.conn_idle),
        reports_full_connection_table=False,
        traffic_classes=tuple(traffic_class_settings(row) for row in told.classes),
        destination_kinds=tuple(
            DestinationKindSettings(
                limit_per_endpoint=bool(apart[i]) if i < len(apart) else False,
                max_batch_size=max(1, int(per_call[i] or 1)) if i < len(per_call) else 1,
            )
            for i in range(kinds)
        ),
        value_halves=own.loses_worth == "halves",
        drain_grace=microseconds(rules.drain_grace),
        initial_capacity_share=rules.cold_from or 0.0,
        warm_up_time=microseconds(rules.ramp_time),
        overload_multiple=rules.fall_multiple or 0.0,
        overload_duration=microseconds(rules.fall),
        settle_time=microseconds(rules.order_settle),
        poll_interval=microseconds(rules.ask_every) if told.membership_mode == "ask" else 0,
        has_load_reports=report_fields(told.load_info or LoadInfo()) is not None,
        has_listed_rates=told.weight_source in ("rough", "nominal"),
        gossip_enabled=bool(limits.may_tell),
        zone_costs=tuple(float(fee or 0) for fee in own.carriage or ()),
    )


def traffic_class_settings(row: TrafficClassRow) -> TrafficClassSettings:
    """One track."""
    return TrafficClassSettings(
        value=1.0 if row.importance is None else float(row.importance),
        latency_objective=microseconds(row.slo or row.deadline),
        deadline=microseconds(row.deadline),
        retry_safety=RETRY_SAFETY[row.repeat],
        deduplication_window=microseconds(row.window),
        deduplicates_across_zones=(row.group or "all") == "all",
        late_value_share=row.late_worth or 0.0,
        ordered=bool(row.one_at_a_time),
    )


def number_traffic_classes(
    listed: list[dict[str, Any]], known: list[dict[str, Any]], held: int
) -> tuple[list[dict[str, Any]], list[int]]:
    """The tracks in the order of their numbers, and the numbers that take nothing new.

    The ledger knows tracks by number. While it holds envelopes, a number keeps the terms under which they
    were taken on: a track that the settings changed or lack keeps its row, and a changed one gets one behind.
    Guards envelopes against a track that is removed, put in another order, or made once-only, under them.
    """
    if not held:
        return listed, []
    rows = [*known, *(row for row in listed if row not in known)]
    return rows, [number for number, row in enumerate(rows) if row not in listed]


# What the settings list by name, and what stands under `specifics` in the same order.
COLUMNS = {"kinds": ("kind-apart", "per-call"), "zones": ("carriage",)}


def align_order(facts: dict[str, Any], before: dict[str, Any]) -> dict[str, Any]:
    """The settings with kinds and zones in the order in which a running sender knows them, new ones behind.
    Guards fees and routes against a list in another order: endpoints are known by the numbers.

    >>> old = {"kinds": ["a", "b"], "zones": ["x"], "classes": []}
    >>> own = {"kind-apart": [True, False], "carriage": [0.01, 0.04]}
    >>> new = {"kinds": ["b", "c"], "zones": ["y", "x"], "classes": [], "specifics": own}
    >>> found = align_order(new, old)
    >>> found["kinds"], [kind.limit_per_endpoint for kind in sender_settings(1, found).destination_kinds]
    (['a', 'b', 'c'], [False, True, False])
    >>> found["zones"], sender_settings(1, found).zone_costs
    (['x', 'y'], (0.04, 0.01))
    >>> unchanged = sender_settings(1, old)
    >>> align_order(old, old)["kinds"], unchanged.zone_costs, unchanged.gossip_enabled
    (['a', 'b'], (), False)
    """
    specifics = dict(facts.get("specifics") or {})
    found = {**facts, "specifics": specifics}
    for name, columns in COLUMNS.items():
        now, known = list(facts.get(name) or []), list(before.get(name) or [])
        found[name] = known + [one for one in now if one not in known]
        for column in columns:
            told = dict(zip(now, specifics.get(column) or [], strict=False))
            if told:
                specifics[column] = [told.get(one) for one in found[name]]
    return found


def sender_settings(seed: int, facts: dict[str, Any]) -> PolicySettings:
    """The same on sockets, where a call carries one envelope, an answer tells of a full table, and the
    directory's own stage asks for the list."""
    told = policy_settings(seed, facts)
    kinds = tuple(replace(kind, max_batch_size=1) for kind in told.destination_kinds)
    return replace(told, reports_full_connection_table=True, poll_interval=0, destination_kinds=kinds)
