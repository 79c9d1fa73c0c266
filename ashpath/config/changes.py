"""What differs between two versions of the sender's file, and what of it a reload applies. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ashpath.config.schema import Configuration
from ashpath.config.schema_keys import table_keys
from ashpath.config.schema_types import Secret


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """The paths of the keys that differ."""

    applied: list[str]
    """A running sender takes these over."""
    at_next_start: list[str]


@dataclass(frozen=True, slots=True)
class Setting:
    """The value of one key."""

    value: object
    reloadable: bool


def find_changes(old: Configuration, new: Configuration) -> ConfigurationChanges:
    """What differs, in the order of the file.

    A list of destinations cannot take the place of a platform while the sender runs, nor the other way round,
    nor a notification file that of an address.
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
    """The tables of which a reload applies nothing, as the file changed what stands in for what."""
    fixed: tuple[str, ...] = ()
    if (old.platform is None) != (new.platform is None):
        fixed += ("platform", "destinations")
    if bool(old.notifications.address) != bool(new.notifications.address):
        fixed += ("notices",)
    return fixed


def flatten(value: object, path: str, *, reloadable: bool) -> Iterator[tuple[str, Setting]]:
    """Every key that is given or has a default, by its path."""
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
