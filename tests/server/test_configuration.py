"""Parsing of a sender's configuration, and the ids that it assigns to traffic classes."""

from __future__ import annotations

from typing import Any

import pytest

from ashpath.server.configuration import SenderConfiguration, parse_listen_address
from ashpath.server.errors import ListenAddressError


def document(*traffic_classes: str, **extra: object) -> dict[str, Any]:
    """Returns a platform's configuration document with these traffic classes."""
    classes = [{"name": name, "deadline": 9000.0, "repeat": "retryable"} for name in traffic_classes]
    return {"seed": "8c1f", "settings": {"classes": classes}} | extra


def test_missing_keys_have_their_defaults() -> None:
    configuration = SenderConfiguration.parse(document("a"))
    assert configuration.seed == 0x8C1F
    assert configuration.known_endpoints == {"members": [], "revision": 0}
    assert configuration.platform_address is None
    assert configuration.control == ""
    assert configuration.gossip_listen is None
    assert configuration.metrics_listen is None
    assert configuration.gossip_peers == frozenset()


def test_discovery_address_of_file_precedes_environment() -> None:
    environment = "10.0.0.1:70"
    assert SenderConfiguration.parse(document("a"), environment).platform_address == ("10.0.0.1", 70)
    configuration = SenderConfiguration.parse(document("a", discovery="10.0.0.2:71"), environment)
    assert configuration.platform_address == ("10.0.0.2", 71)
    assert configuration.discovery == "10.0.0.2:71"


def test_reordered_traffic_classes_keep_their_ids() -> None:
    """With live messages, a removed class keeps its id and accepts no further message."""
    running = SenderConfiguration.parse(document("a", "b"))
    configuration = SenderConfiguration.parse(document("c", "b")).aligned_with(running)
    assert configuration.settings.traffic_class_names() == ["a", "b", "c"]
    assert configuration.settings.traffic_class_ids == {"b": 1, "c": 2}


def test_traffic_class_ids_are_reassigned_without_live_messages() -> None:
    stored_classes = SenderConfiguration.parse(document("a", "b")).settings.document["classes"]
    configuration = SenderConfiguration.parse(document("b")).with_traffic_class_ids(
        stored_classes, has_live_messages=False
    )
    assert configuration.settings.traffic_class_ids == {"b": 0}


def test_aligned_configuration_keeps_the_settings_as_read() -> None:
    """The next reload is compared with the settings as read."""
    running = SenderConfiguration.parse(document("a", "b"))
    read = SenderConfiguration.parse(document("b"))
    aligned = read.aligned_with(running)
    assert aligned.raw_settings == read.raw_settings
    assert aligned.settings.document != read.settings.document


@pytest.mark.parametrize("table", [{"listen": "nowhere"}, {"port": 9}, "far", {"listen": 7}])
def test_invalid_listen_address_is_named_in_the_error(table: object) -> None:
    with pytest.raises(ListenAddressError, match=r"metrics\.listen: found .*, expected an address"):
        parse_listen_address({"metrics": table}, "metrics")


@pytest.mark.parametrize("table", [None, {}, ""])
def test_empty_listen_table_means_no_address(table: object) -> None:
    assert parse_listen_address({"metrics": table}, "metrics") is None
