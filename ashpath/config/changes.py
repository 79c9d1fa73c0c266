"""Finds the keys that differ between two versions of the sender's file, and those that a reload applies.

No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ashpath.config.schema import Configuration
from ashpath.config.schema_keys import table_keys
from ashpath.config.schema_types import Secret


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """The paths of the keys that differ, by the time at which a change takes effect."""

    applied: list[str]
    """Keys whose change a running sender applies."""
    at_next_start: list[str]


@dataclass(frozen=True, slots=True)
class Setting:
    """The value of one key, and whether a reload applies a change of it."""

    value: object
    reloadable: bool


def find_changes(old: Configuration, new: Configuration) -> ConfigurationChanges:
    """Returns the keys that differ, in the order of the file.

    A running sender cannot replace a platform with a list of destinations or vice versa, nor replace a
    notification address with a file or vice versa.
    """
    before = dict(flatten(old, "", reloadable=False))
    after = dict(flatten(new, "", reloadable=False))
    fixed = tables_fixed_until_restart(old, new)
    changes = ConfigurationChanges([], [])
    for path in {**before, **after}:
        if before.get(path) == after.get(path):
            continue
        reloadable = all(settings[path].reloadable for settings in (before, after) if path in settings)
        is_applied = reloadable and not path.startswith(fixed)
        (changes.applied if is_applied else changes.at_next_start).append(path)
    return changes


def tables_fixed_until_restart(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Returns the tables whose changes need a restart.

    These are the tables of the endpoint list or of notifications if their source or target changed in kind.
    """
    fixed: tuple[str, ...] = ()
    if (old.platform is None) != (new.platform is None):
        fixed += ("platform", "destinations")
    if bool(old.notifications.address) != bool(new.notifications.address):
        fixed += ("notices",)
    return fixed


def flatten(value: object, path: str, *, reloadable: bool) -> Iterator[tuple[str, Setting]]:
    """Yields the path and the setting of every key that is given or has a default."""
    if isinstance(value, dict):
        for name, row in value.items():
            yield from flatten(row, f"{path}.{name}", reloadable=reloadable)
    elif isinstance(value, msgspec.Struct) and not isinstance(value, Secret):
        for name, row in table_keys(type(value)).items():
            row_path = f"{path}.{name}" if path else name
            row_reloadable = reloadable or row.key.reloadable
            yield from flatten(getattr(value, row.field), row_path, reloadable=row_reloadable)
    else:
        yield path, Setting(value, reloadable)
