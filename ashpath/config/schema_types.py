"""The building blocks of a schema: the description beside each key's type, secrets, and units of bounds."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

# Times are in microseconds, sizes in bytes.
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
    """The description and the bounds of a key, beside its type.

    Bounds are in the unit of the type: microseconds, bytes, characters of a text, entries of a list or table.
    """

    doc: str
    minimum: float | None = None
    maximum: float | None = None
    reloadable: bool = False
    """Whether a reload (SIGHUP) applies a change; otherwise the change takes effect at the next start."""


class Secret(Struct, forbid_unknown_fields=True):
    """The environment variable or the file that holds a secret; the secret is never in the sender's file."""

    env: str = ""
    file: str = ""
