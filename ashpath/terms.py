"""The operators' settings as `Terms`: one place for the bench's front and for the sender on sockets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

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


def told_fields(facts: dict[str, Any]) -> tuple[int, int] | None:
    """Where an answer's report has the share of the limit that is left, and the limit; None if none tells.

    >>> told_fields({"load-info": {"fields": ["qps", "x1", "x0"]}})
    (2, 1)
    >>> told_fields({"load-info": {"how": "probe", "fields": ["x0", "x1"]}})
    """
    info = facts.get("load-info") or {}
    fields = info.get("fields") or []
    answered = info.get("how") != "probe" and {"x0", "x1"} <= set(fields)
    return (fields.index("x0"), fields.index("x1")) if answered else None


def terms(seed: int, facts: dict[str, Any]) -> Terms:
    """The settings; whatever is missing or null counts as not asked for, what is unknown is skipped."""
    limits = facts.get("limits") or {}
    rules = facts.get("contract") or {}
    own = facts.get("specifics") or {}
    apart = own.get("kind-apart") or []
    per_call = own.get("per-call") or []
    kinds = max(len(facts.get("kinds") or []), len(apart), len(per_call), 1)
    slots = own.get("slots") or 0
    return Terms(
        seed=seed,
        number=facts.get("rank") or 0,
        senders=max(1, facts.get("group-size") or 1),
        slots=max(1, int(slots)),
        room=int(limits.get("max-open") or 0),
        most_shots=int(limits.get("max-attempts") or 0),
        may_withdraw=bool(limits.get("cancelling")),
        longest_wait=micros(limits.get("max-retry-after")) if limits.get("retry-after") else 0,
        connect_time=micros(limits.get("connect-timeout")),
        idle_time=micros(limits.get("conn-idle")),
        tables_told=False,
        tracks=tuple(track_terms(row) for row in facts["classes"]),
        kinds=tuple(
            KindTerms(
                apart=bool(apart[i]) if i < len(apart) else False,
                per_call=max(1, int(per_call[i] or 1)) if i < len(per_call) else 1,
            )
            for i in range(kinds)
        ),
        decays=own.get("loses-worth") == "halves",
        drain_grace=micros(rules.get("drain-grace")),
        cold_share=rules.get("cold-from") or 0.0,
        ramp_time=micros(rules.get("ramp-time")),
        fall_multiple=rules.get("fall-multiple") or 0.0,
        fall_time=micros(rules.get("fall")),
        key_rest=micros(rules.get("order-settle")),
        ask_within=micros(rules.get("ask-every")) if facts.get("membership-mode") == "ask" else 0,
        reports=told_fields(facts) is not None,
        rated=facts.get("weight-source") in ("rough", "nominal"),
        notes=bool(limits.get("may-tell")),
        fees=tuple(float(fee or 0) for fee in own.get("carriage") or ()),
    )


def track_terms(row: dict[str, Any]) -> TrackTerms:
    """One track."""
    worth = row.get("importance")
    return TrackTerms(
        payoff=1.0 if worth is None else float(worth),
        promised=micros(row.get("slo") or row["deadline"]),
        cutoff=micros(row["deadline"]),
        repeat=REPEATS[row["repeat"]],
        window=micros(row.get("window")),
        whole_group=(row.get("group") or "all") == "all",
        late_share=row.get("late-worth") or 0.0,
        ordered=bool(row.get("one-at-a-time")),
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
