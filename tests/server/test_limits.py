"""Limits of a sender: values that follow from a configuration, and errors of the table `own`."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from support.configuration import EXAMPLE, TEXT, write_file
from support.limits import values_by_key
from support.sender_harness import ROOT

from ashpath.config.loading import read_configuration
from ashpath.config.platform_document import platform_document
from ashpath.server.configuration import SenderConfiguration
from ashpath.server.errors import UNUSABLE_CONFIGURATION_ERRORS, error_text

DEFAULTS: dict[str, Any] = {
    "client_connections": 912,
    "idle_client_connections": 170,
    "endpoint_connections": 64,
    "disk_bytes": 970_000,
    "open_retries_s": 8.0,
    "memory_bytes": 192_000_000,
    "endpoint_idle_s": 4.8,
    "connect_s": 1.0,
    "min_endpoint_idle_s": 0.1,
    "idle_distrust_s": 10.0,
    "pool_sweep_s": 0.25,
    "forget_destination_s": 60.0,
    "head_bytes": 16_384,
    "request_headers": 100,
    "body_bytes": 65_536,
    "interim_responses": 20,
    "response_rest_s": 0.5,
    "buffer_bytes": 4_096,
    "turn_s": 0.002,
    "request_s": 2.4,
    "client_idle_s": 2.2,
    "silent_eviction_s": 0.3,
    "idle_eviction_s": 1.0,
    "eviction_patience_s": 0.25,
    "eviction_candidates": 16,
    "stalled_request_s": 0.5,
    "response_write_s": 2.0,
    "drain_bytes": 262_144,
    "drain_clients_s": 1.5,
    "watch_s": 2.0,
    "watch_grace_s": 0.6,
    "retry_s": 0.1,
    "snapshot_s": 1.0,
    "pushed_snapshot_s": 0.2,
    "pushed_pause_s": 0.1,
    "late_poll_s": 4.0,
    "list_lease_s": 5.4,
    "moved_list_lease_s": 3.4,
    "discovery_backoff_s": 0.5,
    "discovery_rejected_backoff_s": 4.5,
    "discovery_jitter": 2 / 3,
    "first_poll_spacing_s": 0.05,
    "initial_snapshot_s": 0.25,
    "initial_silence_s": 0.7,
    "initial_snapshots_s": 3.0,
    "log_repair_s": 0.25,
    "disk_usage_interval_s": 0.25,
    "memory_interval_s": 0.1,
    "notification_backoff_s": 0.15,
    "notification_s": 0.5,
    "notification_batch": 200,
    "notification_file_bytes": 0,
    "notification_files": 0,
    "outcome_store_bytes": 0,
    "outcome_retention_s": 0.0,
    "start_retries_s": 3.0,
    "accept_after_term_s": 0.4,
    "attempts_after_term_s": 3.0,
    "requests_after_term_s": 3.2,
    "end_after_term_s": 3.5,
    "adoption_interval_s": 0.5,
    "upgrade_adoption_interval_s": 0.03,
    "control_timeout_s": 5.0,
    "control_connections": 16,
}
OWN_FILE = {
    "memory_bytes": 268_435_456,
    "forget_destination_s": 0.0,
    "request_s": 10.0,
    "client_idle_s": 30.0,
    "notification_file_bytes": 16_777_216,
    "notification_files": 4,
    "outcome_store_bytes": 4_194_304,
    "outcome_retention_s": 3600.0,
}


def document(limits: dict[str, Any], settings: dict[str, Any] | None = None) -> dict[str, Any]:
    """Returns a platform's configuration document with these limits and settings."""
    return {"seed": "8c1f", "settings": {"classes": []} | (settings or {}), "limits": limits}


def parsed_values(configuration: dict[str, Any]) -> dict[str, Any]:
    return values_by_key(SenderConfiguration.parse(configuration).limits)


def own_file_values(path: Path) -> dict[str, Any]:
    return parsed_values(platform_document(read_configuration(path), "8c1f"))


def site_settings(name: str, max_in_flight: int) -> dict[str, Any]:
    """Returns the settings of a customer of deploy/sites from which limits are derived."""
    site = tomllib.loads((ROOT / "deploy" / "sites" / f"{name}.toml").read_text())
    connection = site["tier"][0]["conn"]
    limits = {
        "connect-timeout": connection["connect_timeout_ms"],
        "conn-idle": 1000 * connection["idle_s"],
    }
    return {"specifics": {"slots": max_in_flight}, "limits": limits}


def test_defaults_apply_without_limits_of_platform() -> None:
    assert parsed_values(document({})) == DEFAULTS


def test_few_descriptors_are_shared_with_clients() -> None:
    shares = {"client_connections": 4, "idle_client_connections": 10, "endpoint_connections": 12}
    expected = DEFAULTS | shares | {"disk_bytes": 7_760_000}
    assert parsed_values(document({"sockets": 1, "disk_mb": 8})) == expected


def test_limits_of_harbour_site() -> None:
    settings = site_settings("harbour-dispatch", max_in_flight=12)
    expected = DEFAULTS | {"disk_bytes": 2_910_000, "endpoint_idle_s": 7.8, "connect_s": 0.7}
    assert parsed_values(document({"sockets": 1024, "disk_mb": 3}, settings)) == expected


def test_limits_of_orchard_site() -> None:
    settings = site_settings("orchard-events", max_in_flight=300)
    expected = DEFAULTS | {
        "client_connections": 116,
        "idle_client_connections": 85,
        "endpoint_connections": 348,
        "disk_bytes": 1_455_000,
        "endpoint_idle_s": 5.8,
        "connect_s": 1.2,
    }
    assert parsed_values(document({"sockets": 512, "disk_mb": 1.5}, settings)) == expected


def test_limits_of_own_file(tmp_path: Path) -> None:
    expected = DEFAULTS | OWN_FILE | {"disk_bytes": 2_910_000}
    assert own_file_values(write_file(tmp_path, TEXT)) == expected


def test_limits_of_example_file() -> None:
    shares = {"client_connections": 720, "endpoint_connections": 256, "disk_bytes": 65_095_598}
    assert own_file_values(EXAMPLE) == DEFAULTS | OWN_FILE | shares


@pytest.mark.parametrize("key", DEFAULTS)
@pytest.mark.parametrize("value", [7, "ill-typed", None])
def test_own_key_sets_its_value_alone(key: str, value: object) -> None:
    """A value of another type is not checked when the configuration is read."""
    assert parsed_values(document({"own": {key: value}})) == DEFAULTS | {key: value}


@pytest.mark.parametrize("key", DEFAULTS)
@pytest.mark.parametrize("unknown", ["request_seconds", "", "http", "clients", "it's"])
def test_unknown_own_key_is_named(key: str, unknown: str) -> None:
    own = {key: 1, unknown: 1, "another": 1}
    with pytest.raises(UNUSABLE_CONFIGURATION_ERRORS) as raised:
        SenderConfiguration.parse(document({"own": own}))
    assert error_text(raised.value) == f"TypeError `ServerLimits` has no field '{unknown}'"


@pytest.mark.parametrize(("own", "type_name"), [([1], "list"), ("text", "str"), (5, "int")])
def test_own_that_is_no_table_is_rejected(own: object, type_name: str) -> None:
    with pytest.raises(UNUSABLE_CONFIGURATION_ERRORS) as raised:
        SenderConfiguration.parse(document({"own": own}))
    reason = f"msgspec._core.replace() argument after ** must be a mapping, not {type_name}"
    assert error_text(raised.value) == f"TypeError {reason}"
