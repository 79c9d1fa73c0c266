"""Limits of a sender for tests: variants of the defaults, and their values by key."""

from __future__ import annotations

from typing import Any

from msgspec.structs import asdict

from ashpath.server.limits.server_limits import ServerLimits
from support.world import LIMITS


def limits_with(**values: float) -> ServerLimits:
    """Returns the limits of the tests with other values, by the keys of the table `own`."""
    return LIMITS.with_fields(values)


def values_by_key(limits: ServerLimits) -> dict[str, Any]:
    """Returns all values, by the keys of the table `own`."""
    structures = asdict(limits).values()
    return {key: value for structure in structures for key, value in asdict(structure).items()}
