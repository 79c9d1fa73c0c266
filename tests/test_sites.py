"""The customers of deploy/sites differ from each other, and the sender serves each by its settings alone."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest
from support.sender_harness import ROOT, SenderHarness, wait_until
from support.sites import SITE_NAMES, read, settings

from ashpath.core.interface import PolicySettings, RetrySafety
from ashpath.core.policy_settings import sender_settings


@pytest.fixture(scope="module")
def harbour() -> PolicySettings:
    return sender_settings(1, settings(read("harbour-dispatch")))


@pytest.fixture(scope="module")
def orchard() -> PolicySettings:
    return sender_settings(1, settings(read("orchard-events")))


def test_harbour_has_short_deadlines_and_load_reports(harbour: PolicySettings) -> None:
    classes = harbour.traffic_classes
    windows = [
        traffic_class.deduplication_window for traffic_class in classes if traffic_class.deduplication_window
    ]
    assert {traffic_class.retry_safety for traffic_class in classes} == set(RetrySafety)
    assert min(windows) == 1_000_000
    assert min(traffic_class.deadline for traffic_class in classes) == 6_000_000
    assert harbour.has_load_reports
    assert not any(traffic_class.ordered for traffic_class in classes)


def test_orchard_has_ordered_messages_and_no_load_reports(orchard: PolicySettings) -> None:
    assert any(traffic_class.ordered for traffic_class in orchard.traffic_classes)
    assert orchard.settle_time
    assert not orchard.has_load_reports


@pytest.mark.parametrize(
    "field",
    [
        "drain_grace",
        "connect_timeout",
        "idle_timeout",
        "overload_multiple",
        "overload_duration",
        "max_attempts",
    ],
)
def test_setting_differs_between_the_two_sites(
    harbour: PolicySettings, orchard: PolicySettings, field: str
) -> None:
    assert getattr(harbour, field) != getattr(orchard, field)


def test_sites_differ_in_size_and_share_no_name() -> None:
    sites = [read(name) for name in SITE_NAMES]
    assert [len(site["net"]["zones"]) for site in sites] == [2, 3]
    assert [len(site["class"]) for site in sites] == [3, 2]
    names = [{row["name"] for row in site["class"] + site["tier"][0]["kind"]} for site in sites]
    assert not names[0] & names[1]


@pytest.mark.parametrize("name", SITE_NAMES)
def test_sender_delivers_messages_of_each_site(harness: SenderHarness, name: str) -> None:
    """Messages of every class are delivered; a failed attempt is retried if the class allows a retry."""
    site = read(name)
    site_settings = settings(site)
    harness.config["settings"] = site_settings
    for row in harness.members:
        row["flavor"] = site_settings["kinds"][-1]
        row["locality"] = site_settings["zones"][-1]
    harness.configure()
    harness.start()
    for number, row in enumerate(site["class"]):
        key = "k" if row.get("in_order") else ""
        for trace, body, to in (("good", "200", 1), ("bad", "500 200", 2), ("next", "200", 2)):
            assert (
                harness.submit(f"{trace}{number}", row["name"], body, 10 * number + to, ordering_key=key)
                == 202
            )
    for number, row in enumerate(site["class"]):
        at_most_once = row["effect"] == "unsafe"
        failing = f"bad{number}"
        wait_until(partial(was_called, harness, 1, f"good{number}", f"next{number}"))
        if at_most_once:
            wait_until(partial(harness.notified, failing))
        else:
            wait_until(partial(was_called, harness, 2, failing))
        assert harness.attempt_count(failing) == (1 if at_most_once else 2)
    unknown = harness.submit("x", "no-such-class", "200", 1)
    assert unknown == 400
    assert harness.process is not None
    assert harness.process.poll() is None


def was_called(harness: SenderHarness, times: int, *traces: str) -> bool:
    """Returns whether endpoints were called exactly so many times for each message."""
    return all(harness.attempt_count(trace) == times for trace in traces)


def test_program_contains_no_name_of_a_site() -> None:
    """No name of a customer, or of its classes, kinds or zones, is in a module or in the deploy file."""
    words: set[str] = set()
    for name in SITE_NAMES:
        site = read(name)
        words |= {name, *site["net"]["zones"]}
        words |= {row["name"] for row in site["class"] + site["tier"][0]["kind"]}
    files = [*Path(ROOT / "ashpath").rglob("*.py"), ROOT / "deploy" / "balancer.toml"]
    for path in files:
        text = path.read_text()
        assert not [word for word in words if word in text], path
