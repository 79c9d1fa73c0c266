"""Conversion of the sender's own file to the platform's form."""

from __future__ import annotations

from pathlib import Path

from support.configuration import TEXT, write_file
from support.limits import values_by_key

from ashpath.config.loading import read_configuration
from ashpath.config.platform_document import platform_document
from ashpath.core.policy_settings import sender_settings
from ashpath.server.limits.server_limits import ServerLimits

PLATFORM_SETTINGS = {
    "classes": [
        {"name": "check-status", "deadline": 16000, "slo": 4000, "repeat": "retryable", "importance": 3},
        {
            "name": "check-result",
            "deadline": 20000,
            "slo": 4000,
            "repeat": "dedup",
            "window": 5000,
            "group": "z",
            "importance": 1,
            "late-worth": 0.25,
            "one-at-a-time": True,
        },
    ],
    "rank": 1,
    "group-size": 3,
    "kinds": ["bank", "app"],
    "zones": ["", "b"],
    "limits": {
        "max-open": 10000,
        "max-attempts": 12,
        "cancelling": True,
        "retry-after": True,
        "max-retry-after": 3000,
        "connect-timeout": 1000,
        "conn-idle": 5000,
    },
    "contract": {
        "drain-grace": 1000,
        "cold-from": 0.2,
        "ramp-time": 10000,
        "fall-multiple": 2,
        "fall": 3000,
        "order-settle": 200,
    },
    "specifics": {"slots": 8, "kind-apart": [False, True], "loses-worth": "halves"},
    "load-info": {"how": "answers", "fields": ["x0", "x1"]},
}


def test_file_gives_same_settings_as_platform_json(tmp_path: Path) -> None:
    """The file and a platform's JSON with the same values give equal settings."""
    document = platform_document(read_configuration(write_file(tmp_path, TEXT)), "8c1f")
    settings = sender_settings(0x8C1F, PLATFORM_SETTINGS)
    assert sender_settings(int(document["seed"], 16), document["settings"]) == settings


def test_file_gives_same_limits_as_platform_json(tmp_path: Path) -> None:
    document = platform_document(read_configuration(write_file(tmp_path, TEXT)), "8c1f")
    settings = sender_settings(0x8C1F, PLATFORM_SETTINGS)
    platform_limits = values_by_key(
        ServerLimits.from_configuration({"sockets": 1024, "disk_mb": 3.0}, settings)
    )
    file_limits = values_by_key(ServerLimits.from_configuration(document["limits"], settings))
    for name in (
        "client_connections",
        "endpoint_connections",
        "disk_bytes",
        "connect_s",
        "endpoint_idle_s",
    ):
        assert file_limits[name] == platform_limits[name], name


def test_endpoint_list_has_ids_and_phases(tmp_path: Path) -> None:
    document = platform_document(read_configuration(write_file(tmp_path, TEXT)), "8c1f")
    assert [row["id"] for row in document["known"]["members"]] == ["7@10.1.0.18:7070", "second"]
    assert [row["phase"] for row in document["known"]["members"]] == ["up", "draining"]
