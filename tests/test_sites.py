"""The customers of deploy/sites: unlike each other and all others; the sender serves each by its settings."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from support.world import ROOT, World, until

from ashpath.core.interface import RetrySafety
from ashpath.core.policy_settings import sender_settings

SITES = ROOT / "deploy" / "sites"
NAMES = ("harbour-dispatch", "orchard-events")
WORDS = json.loads((SITES / "wire.json").read_text())["init"]["words"]


def middle(value: Any) -> float:
    return sum(value) / len(value) if isinstance(value, list) else value


def settings(site: dict[str, Any]) -> dict[str, Any]:
    """What a platform would tell a sender of this customer, as the wire's file words it."""
    tier, allow, rules, own = site["tier"][0], site["allow"], site["rules"], site["fam"]
    return {
        "classes": [
            {
                "name": row["name"],
                "deadline": row["deadline_ms"],
                "slo": row["aim_ms"],
                "importance": row["worth"],
                "repeat": WORDS[row["effect"]],
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
            "cold-from": middle(tier["kind"][0]["cold_from"]),
            "ramp-time": 1000 * middle(tier["kind"][0]["cold_s"]),
        },
        "specifics": {"slots": 12, "loses-worth": own["late"]},
        "membership-mode": site["discovery"]["mode"],
    }


def read(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / f"{name}.toml").read_text())


def test_they_are_unlike() -> None:
    """One has a window of a second and short deadlines, the other order by key and no reports."""
    harbour, orchard = (sender_settings(1, settings(read(name))) for name in NAMES)
    assert {track.retry_safety for track in harbour.traffic_classes} == set(RetrySafety)
    assert (
        min(track.deduplication_window for track in harbour.traffic_classes if track.deduplication_window)
        == 1_000_000
    )
    assert min(track.deadline for track in harbour.traffic_classes) == 6_000_000 and harbour.has_load_reports
    assert (
        any(track.ordered for track in orchard.traffic_classes)
        and orchard.settle_time
        and not orchard.has_load_reports
    )
    assert not any(track.ordered for track in harbour.traffic_classes)
    facts = [read(name) for name in NAMES]
    assert [len(one["net"]["zones"]) for one in facts] == [2, 3]
    assert [len(one["class"]) for one in facts] == [3, 2]
    for key in (
        "drain_grace",
        "connect_timeout",
        "idle_timeout",
        "overload_multiple",
        "overload_duration",
        "max_attempts",
    ):
        assert getattr(harbour, key) != getattr(orchard, key), key
    names = [{row["name"] for row in one["class"] + one["tier"][0]["kind"]} for one in facts]
    assert not names[0] & names[1]


@pytest.mark.parametrize("name", NAMES)
def test_the_sender_serves_each(world: World, name: str) -> None:
    """Every class: taken on, delivered, and what fails ended as its effect allows."""
    site = read(name)
    told = settings(site)
    world.config["settings"] = told
    for row in world.members:
        row["flavor"], row["locality"] = told["kinds"][-1], told["zones"][-1]
    world.configure()
    world.start()
    for number, row in enumerate(site["class"]):
        key = "k" if row.get("in_order") else ""
        for trace, body, to in (("good", "200", 1), ("bad", "500 200", 2), ("next", "200", 2)):
            assert world.hand_in(f"{trace}{number}", row["name"], body, 10 * number + to, key=key) == 202
    for number, row in enumerate(site["class"]):
        once = row["effect"] == "unsafe"
        until(lambda n=number: world.count(f"good{n}") == 1 and world.count(f"next{n}") == 1)
        until(lambda n=number, o=once: world.told(f"bad{n}") if o else world.count(f"bad{n}") == 2)
        assert world.count(f"bad{number}") == (1 if once else 2)
    unknown = world.hand_in("x", "no-such-class", "200", 1)
    assert unknown == 400 and world.process is not None and world.process.poll() is None


def test_nothing_of_a_customer_in_the_program() -> None:
    """No name of a deployment, its classes, kinds or zones in module, program or deploy file."""
    words: set[str] = set()
    for name in NAMES:
        site = read(name)
        words |= {name, *site["net"]["zones"]}
        words |= {row["name"] for row in site["class"] + site["tier"][0]["kind"]}
    files = [*Path(ROOT / "ashpath").rglob("*.py"), ROOT / "deploy" / "balancer.toml"]
    for path in files:
        text = path.read_text()
        assert not [word for word in words if word in text], path
