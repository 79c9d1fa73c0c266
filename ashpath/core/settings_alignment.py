"""Keeps the ids of destination kinds and zones stable when a running sender gets new settings."""

from __future__ import annotations

from ashpath.core.json_types import JsonObject
from ashpath.core.platform_settings import COLUMNS


def align_order(settings: JsonObject, previous: JsonObject) -> JsonObject:
    """Returns the settings with kinds and zones in the order of `previous`, followed by new ones.

    Endpoint records refer to kinds and zones by position, so a changed order would assign other endpoints'
    limits and zone costs to them.

    >>> from ashpath.core.policy_settings import sender_settings
    >>> previous = {"kinds": ["a", "b"], "zones": ["x"], "classes": []}
    >>> specifics = {"kind-apart": [True, False], "carriage": [0.01, 0.04]}
    >>> new = {"kinds": ["b", "c"], "zones": ["y", "x"], "classes": [], "specifics": specifics}
    >>> found = align_order(new, previous)
    >>> found["kinds"], [kind.limit_per_endpoint for kind in sender_settings(1, found).destination_kinds]
    (['a', 'b', 'c'], [False, True, False])
    >>> found["zones"], sender_settings(1, found).zone_costs
    (['x', 'y'], (0.04, 0.01))
    >>> unchanged = sender_settings(1, previous)
    >>> align_order(previous, previous)["kinds"], unchanged.zone_costs, unchanged.gossip_enabled
    (['a', 'b'], (), False)
    """
    specifics = dict(settings.get("specifics") or {})
    aligned = {**settings, "specifics": specifics}
    for list_name, columns in COLUMNS.items():
        listed = list(settings.get(list_name) or [])
        known = list(previous.get(list_name) or [])
        aligned[list_name] = known + [name for name in listed if name not in known]
        for column in columns:
            values = dict(zip(listed, specifics.get(column) or [], strict=False))
            if values:
                specifics[column] = [values.get(name) for name in aligned[list_name]]
    return aligned
