"""A plan in the platform's form, so that `terms`, `limits` and the sender have one place for each rule."""

from __future__ import annotations

from itertools import chain
from pathlib import Path
from typing import Any

import msgspec

from ashpath.config.rules import listed, named, receiver
from ashpath.config.schema import Configuration, Limits, Rules, Track
from ashpath.config.units import SIZES, TIMES, Duration, Size, written
from ashpath.core.interface import RetrySafety
from ashpath.core.platform_settings import RETRY_SAFETY
from ashpath.core.time_units import milliseconds

WIRE = {
    RetrySafety.IDEMPOTENT: "repeatable",
    RetrySafety.DEDUPLICATED: "tagged",
    RetrySafety.AT_MOST_ONCE: "once-only",
}
REPEAT = {ours: theirs for theirs, repeat in RETRY_SAFETY.items() for ours in [WIRE[repeat]]}
SECOND = 1_000_000


def told(plan: Configuration, seed: str) -> dict[str, Any]:
    """What RELAY_CONFIG would hold, and beside it what only the sender's own file has (`own` limits)."""
    names, zones = list(plan.kinds), zones_of(plan)
    fees: dict[str, float] = {name: zone.fee for name, zone in plan.zones.items() if zone.fee}
    settings = {
        "rank": plan.sender.number,
        "group-size": plan.sender.senders,
        "classes": [track_row(name, track) for name, track in plan.tracks.items()],
        "kinds": names,
        "zones": zones,
        "limits": allowed(plan),
        "contract": contract(plan.rules),
        "specifics": {
            "slots": plan.rules.slots,
            "kind-apart": [kind.apart for kind in plan.kinds.values()],
            "loses-worth": plan.rules.decay,
            "carriage": [fees.get(name, 0.0) for name in zones] if fees else [],
        },
        "weight-source": "rough" if plan.rules.rates else "none",
    }
    if plan.rules.reports:
        settings["load-info"] = {"how": "answers", "fields": ["x0", "x1"]}
    return {
        "seed": seed,
        "settings": settings,
        "limits": {
            "sockets": plan.limits.descriptors,
            "disk_mb": plan.limits.disk / 1e6,
            "own": own(plan, plan.limits),
        },
        "known": {"revision": 0, "complete": True, "members": members(plan)},
        "discovery": plan.platform.directory if plan.platform else "",
        "metrics": written_out(plan.metrics) if plan.metrics else {},
        "peers": written_out(plan.peers) if plan.peers else {},
    }


def track_row(name: str, track: Track) -> dict[str, Any]:
    return {
        "name": name,
        "deadline": milliseconds(track.cutoff),
        "slo": None if track.promised is None else milliseconds(track.promised),
        "repeat": REPEAT[track.repeat],
        "window": milliseconds(track.window),
        "importance": track.payoff,
        "late-worth": track.late_share,
        "group": "all" if track.whole_group else "zone",
        "one-at-a-time": track.ordered,
    }


def allowed(plan: Configuration) -> dict[str, Any]:
    rules = plan.rules
    return {
        "max-open": plan.limits.envelopes,
        "max-attempts": rules.most_shots,
        "cancelling": rules.may_withdraw,
        "retry-after": rules.longest_wait > 0,
        "max-retry-after": milliseconds(rules.longest_wait),
        "connect-timeout": milliseconds(rules.connect_time),
        "conn-idle": milliseconds(rules.idle_time),
        "may-tell": plan.peers is not None,
    }


def contract(rules: Rules) -> dict[str, Any]:
    return {
        "drain-grace": milliseconds(rules.drain_grace),
        "cold-from": rules.cold_share,
        "ramp-time": milliseconds(rules.ramp_time),
        "fall-multiple": rules.fall_multiple,
        "fall": milliseconds(rules.fall_time),
        "order-settle": milliseconds(rules.key_rest),
    }


def own(plan: Configuration, limits: Limits) -> dict[str, Any]:
    """Limits of the process that the platform's form has no name for."""
    told = {
        "body_bytes": int(limits.body),
        "head_bytes": int(limits.head),
        "request_s": limits.request / SECOND,
        "client_idle_s": limits.quiet / SECOND,
        "outcome_store_bytes": int(plan.ends.bytes),
        "outcome_retention_s": plan.ends.kept_for / SECOND,
        "notification_file_bytes": int(plan.notices.file_size),
        "notification_files": plan.notices.files,
    }
    if plan.platform is None:
        told["forget_destination_s"] = (
            0.0  # what the file lacks is not listed: no directory is late with a successor
        )
    return told | ({"idle_client_connections": limits.idle_clients} if limits.idle_clients else {})


def zones_of(plan: Configuration) -> list[str]:
    """Every zone that the file names, each once, in its order."""
    endpoints = chain.from_iterable(listed(one) for one in plan.destinations.values())
    return list(dict.fromkeys([*map(str, plan.zones), *(one.zone for one in endpoints)])) or [""]


def members(plan: Configuration) -> list[dict[str, Any]]:
    """The directory's lines of what the file lists."""
    first = next(iter(plan.kinds))
    return [
        {
            "id": named(number, endpoint),
            "host_port": str(endpoint.address),
            "locality": endpoint.zone,
            "flavor": destination.kind or first,
            "cell": number,
            "phase": "draining" if endpoint.draining else "up",
            "size": endpoint.rate or destination.rate,
        }
        for number, destination in plan.destinations.items()
        for endpoint in listed(destination)
    ]


def notice_address(plan: Configuration) -> tuple[str, str] | None:
    """Address and path of whoever takes notices by HTTP; None where it is a file or nobody."""
    if plan.notices.address:
        return receiver(plan.notices.address)
    return (plan.platform.directory, "/v1/notices") if plan.platform and not plan.notices.file else None


def document(plan: Configuration) -> dict[str, Any]:
    """The plan as a file has it, defaults included, for whoever writes one."""
    found: dict[str, Any] = written_out(plan)
    return found


def written_out(value: Any) -> Any:
    if isinstance(value, msgspec.Struct):
        rows = {name: getattr(value, name) for name in value.__struct_fields__}
        return {name: written_out(row) for name, row in rows.items() if row is not None}
    if isinstance(value, dict):
        return {str(name): written_out(row) for name, row in value.items()}
    if isinstance(value, list):
        return [written_out(row) for row in value]
    if isinstance(value, Duration):
        return written(value, TIMES)
    return written(value, SIZES) if isinstance(value, Size) else value


def below(base: Path, path: str) -> Path:
    """A path of the file, counted from the file's folder."""
    return (base / path).absolute()
