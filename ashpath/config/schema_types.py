"""What a schema is written with: the row beside each key's type, secrets, and the units of bounds."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

# Microseconds of a time, bytes of a size.
MS = 1000
S = 10**6
MIN = 60 * S
H = 60 * MIN
D = 24 * H
KIB = 1 << 10
MIB = 1 << 20
GIB = 1 << 30


@dataclass(frozen=True, slots=True)
class Key:
    """What stands beside the type of a key. Bounds are in its unit: microseconds, bytes, counts."""

    doc: str
    minimum: float | None = None
    maximum: float | None = None
    reloadable: bool = False
    """A reload (SIGHUP) applies a change; else it waits for the next start."""


class Secret(Struct, forbid_unknown_fields=True):
    """Where a secret is: never in the file itself."""

    env: str = ""
    file: str = ""
