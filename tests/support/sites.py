"""The settings of the customers in deploy/sites, as a platform sends them."""

from __future__ import annotations

import json
import tomllib
from typing import Any

from support.sender_harness import ROOT

SITES = ROOT / "deploy" / "sites"
SITE_NAMES = ("harbour-dispatch", "orchard-events")
RETRY_SAFETY_WORDS = json.loads((SITES / "wire.json").read_text())["init"]["words"]


def midpoint(value: float | list[float]) -> float:
    return sum(value) / len(value) if isinstance(value, list) else value


def settings(site: dict[str, Any]) -> dict[str, Any]:
    """Returns a customer's settings as a platform sends them, by their names on the wire."""
    tier, allow, rules, own = site["tier"][0], site["allow"], site["rules"], site["fam"]
    return {
        "classes": [
            {
                "name": row["name"],
                "deadline": row["deadline_ms"],
                "slo": row["aim_ms"],
                "importance": row["worth"],
                "repeat": RETRY_SAFETY_WORDS[row["effect"]],
                "window": row.get("window_ms"),
                "group": row.get("group"),
                "late-worth": row["late_worth"],
                "one-at-a-time": row.get("in_order", False),
            }
            for row in site["class"]
        ],
        "kinds": [kind["name"] for kind in tier["kind"]],
        "zones": site["net"]["zones"],
        "group-size": 3,
        "rank": 1,
        "load-info": {"how": tier["report"]["how"], "fields": tier["report"]["fields"]},
        "limits": {
            "max-open": own["least_open"],
            "max-attempts": allow["max_attempts"],
            "cancelling": allow["cancel"],
            "retry-after": allow["retry_after"],
            "max-retry-after": site["clients"]["max_retry_after_ms"],
            "connect-timeout": tier["conn"]["connect_timeout_ms"],
            "conn-idle": 1000 * tier["conn"]["idle_s"],
        },
        "contract": {
            "drain-grace": rules["drain_grace_ms"],
            "fall-multiple": rules["fall_multiple"],
            "fall": rules["fall_ms"],
            "order-settle": rules.get("order_settle_ms"),
            "cold-from": midpoint(tier["kind"][0]["cold_from"]),
            "ramp-time": 1000 * midpoint(tier["kind"][0]["cold_s"]),
        },
        "specifics": {"slots": 12, "loses-worth": own["late"]},
        "membership-mode": site["discovery"]["mode"],
        "weight-source": tier["weights"],
    }


def read(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / f"{name}.toml").read_text())
