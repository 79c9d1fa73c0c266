"""The operators' settings as `Terms`: one place for the bench's front and for the sender on sockets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Literal

from msgspec import Struct, ValidationError, convert

from ashpath.door import KindTerms, Repeat, Terms, TrackTerms

REPEATS = {"retryable": Repeat.REPEATABLE, "dedup": Repeat.TAGGED, "fragile": Repeat.ONCE_ONLY}


def micros(milliseconds: float | None) -> int:
    """Whole microseconds; an absent value counts as none.

    >>> micros(8412.25), micros(0.0005), micros(None)
    (8412250, 0, 0)
    """
    return round(milliseconds * 1000) if milliseconds else 0


def millis(microseconds: int) -> float:
    """Milliseconds as the outside wants them.

    >>> millis(8412250)
    8412.25
    """
    return microseconds / 1000


class Unfit(ValueError):
    """A setting that cannot be used; its words name the key."""


Number = int | float | None  # null and a missing key are one


class Row(Struct, rename="kebab"):
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


class Allowed(Struct, rename="kebab"):
    max_open: Number = None
    max_attempts: Number = None
    cancelling: bool | None = None
    retry_after: bool | None = None
    max_retry_after: Number = None
    connect_timeout: Number = None
    conn_idle: Number = None
    may_tell: bool | None = None


class Contract(Struct, rename="kebab"):
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


class Facts(Struct, rename="kebab"):
    """The settings that are read; what else they have is skipped."""

    classes: list[Row]
    rank: Number = None
    group_size: Number = None
    kinds: list[str] | None = None
    zones: list[str] | None = None
    limits: Allowed | None = None
    contract: Contract | None = None
    specifics: Specifics | None = None
    load_info: LoadInfo | None = None
    membership_mode: str | None = None
    weight_source: str | None = None


def read(facts: dict[str, Any]) -> Facts:
    """Raises Unfit, which names the key, where a setting has a wrong type.

    >>> read({"classes": [], "limits": {"max-open": None, "later": "x"}}).limits.max_open
    >>> read({"classes": [], "limits": {"max-open": []}})
    Traceback (most recent call last):
    ashpath.terms.Unfit: settings.limits.max-open: expected `int | float | null`, got `array`
    """
    try:
        return convert(facts, Facts)
    except ValidationError as error:
        wanted, _, place = str(error).partition(" - at ")
        key = place.strip("`").replace("$", "settings", 1) or "settings"
        raise Unfit(f"{key}: {wanted[:1].lower()}{wanted[1:]}") from None


def told_fields(facts: dict[str, Any]) -> tuple[int, int] | None:
    """Where an answer's report has the share of the limit that is left, and the limit; None if none tells.

    >>> told_fields({"load-info": {"fields": ["qps", "x1", "x0"]}, "classes": []})
    (2, 1)
    >>> told_fields({"load-info": {"how": "probe", "fields": ["x0", "x1"]}, "classes": []})
    """
    return fields_told(read(facts).load_info or LoadInfo())


def fields_told(info: LoadInfo) -> tuple[int, int] | None:
    fields = info.fields or []
    answered = info.how != "probe" and {"x0", "x1"} <= set(fields)
    return (fields.index("x0"), fields.index("x1")) if answered else None


def terms(seed: int, facts: dict[str, Any]) -> Terms:
    """The settings; whatever is missing or null counts as not asked for, what is unknown is skipped."""
    told = read(facts)
    limits, rules = told.limits or Allowed(), told.contract or Contract()
    own = told.specifics or Specifics()
    apart, per_call = own.kind_apart or [], own.per_call or []
    kinds = max(len(told.kinds or []), len(apart), len(per_call), 1)
    return Terms(
        seed=seed,
        number=int(told.rank or 0),
        senders=max(1, int(told.group_size or 1)),
        slots=max(1, int(own.slots or 0)),
        room=int(limits.max_open or 0),
        most_shots=int(limits.max_attempts or 0),
        may_withdraw=bool(limits.cancelling),
        longest_wait=micros(limits.max_retry_after) if limits.retry_after else 0,
        connect_time=micros(limits.connect_timeout),
        idle_time=micros(limits.conn_idle),
        tables_told=False,
        tracks=tuple(track_terms(row) for row in told.classes),
        kinds=tuple(
            KindTerms(
                apart=bool(apart[i]) if i < len(apart) else False,
                per_call=max(1, int(per_call[i] or 1)) if i < len(per_call) else 1,
            )
            for i in range(kinds)
        ),
        decays=own.loses_worth == "halves",
        drain_grace=micros(rules.drain_grace),
        cold_share=rules.cold_from or 0.0,
        ramp_time=micros(rules.ramp_time),
        fall_multiple=rules.fall_multiple or 0.0,
        fall_time=micros(rules.fall),
        key_rest=micros(rules.order_settle),
        ask_within=micros(rules.ask_every) if told.membership_mode == "ask" else 0,
        reports=fields_told(told.load_info or LoadInfo()) is not None,
        rated=told.weight_source in ("rough", "nominal"),
        notes=bool(limits.may_tell),
        fees=tuple(float(fee or 0) for fee in own.carriage or ()),
    )


def track_terms(row: Row) -> TrackTerms:
    """One track."""
    return TrackTerms(
        payoff=1.0 if row.importance is None else float(row.importance),
        promised=micros(row.slo or row.deadline),
        cutoff=micros(row.deadline),
        repeat=REPEATS[row.repeat],
        window=micros(row.window),
        whole_group=(row.group or "all") == "all",
        late_share=row.late_worth or 0.0,
        ordered=bool(row.one_at_a_time),
    )


def numbered(
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


def aligned(facts: dict[str, Any], before: dict[str, Any]) -> dict[str, Any]:
    """The settings with kinds and zones in the order in which a running sender knows them, new ones behind.
    Guards fees and routes against a list in another order: endpoints are known by the numbers.

    >>> old = {"kinds": ["a", "b"], "zones": ["x"], "classes": []}
    >>> own = {"kind-apart": [True, False], "carriage": [0.01, 0.04]}
    >>> new = {"kinds": ["b", "c"], "zones": ["y", "x"], "classes": [], "specifics": own}
    >>> found = aligned(new, old)
    >>> found["kinds"], [kind.apart for kind in node_terms(1, found).kinds]
    (['a', 'b', 'c'], [False, True, False])
    >>> found["zones"], node_terms(1, found).fees
    (['x', 'y'], (0.04, 0.01))
    >>> aligned(old, old)["kinds"], node_terms(1, old).fees, node_terms(1, old).notes
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


def node_terms(seed: int, facts: dict[str, Any]) -> Terms:
    """The same on sockets, where a call carries one envelope, an answer tells of a full table, and the
    directory's own stage asks for the list."""
    told = terms(seed, facts)
    kinds = tuple(replace(kind, per_call=1) for kind in told.kinds)
    return replace(told, tables_told=True, ask_within=0, kinds=kinds)
