"""Durations, sizes and addresses as people write them.

A number alone is refused: it would leave the unit to be guessed.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from ipaddress import IPv4Address

TIMES = {"us": 1, "ms": 1000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SIZES = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
AMOUNT = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?) ?([A-Za-z]+)", re.ASCII)
HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?", re.ASCII)


class Duration(int):
    """Whole microseconds."""


class Size(int):
    """Bytes."""


class Address(str):
    """Host and port."""


class Word(str):
    """Printable, without spaces: it goes into headers, log lines and paths."""


def amount(text: object, units: dict[str, int]) -> int:
    """The whole amount; ValueError where it is none.

    >>> amount("4s", TIMES), amount("1.5 ms", TIMES), amount("64KiB", SIZES)
    (4000000, 1500, 65536)
    >>> amount("4", TIMES)
    Traceback (most recent call last):
    ValueError: no amount with a unit
    """
    found = AMOUNT.fullmatch(text) if isinstance(text, str) else None
    if found is None or found[2] not in units:
        raise ValueError("no amount with a unit")
    return round(float(found[1]) * units[found[2]])


def written(value: int, units: dict[str, int]) -> str:
    """As `amount` reads it back: the largest unit that divides it.

    >>> written(4_000_000, TIMES), written(65536, SIZES), written(0, TIMES), written(2_400_000, TIMES)
    ('4s', '64KiB', '0s', '2400ms')
    """
    if not value:
        return "0s" if units is TIMES else "0B"
    name = max((name for name, size in units.items() if value % size == 0), key=lambda name: units[name])
    return f"{value // units[name]}{name}"


def address(text: object) -> str:
    """The text, if it is an IPv4 address or a name with a port; ValueError else.

    >>> address("127.0.0.1:7070")
    '127.0.0.1:7070'
    >>> address("[::1]:7070")
    Traceback (most recent call last):
    ValueError: no address
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    sound = port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536
    if not sound or not HOST.fullmatch(host):
        raise ValueError("no address")
    if re.fullmatch(r"[0-9.]+", host):
        IPv4Address(host)
    return str(text)


def word(text: object) -> str:
    """The text, if it can stand in a header, a log line and a path; ValueError else."""
    if not isinstance(text, str) or not re.fullmatch(r"[!-~]{1,64}", text) or set(text) & set("/\\\"'"):
        raise ValueError("no word")
    return text


READERS: dict[object, Callable[[object], object]] = {
    Duration: lambda value: Duration(amount(value, TIMES)),
    Size: lambda value: Size(amount(value, SIZES)),
    Address: lambda value: Address(address(value)),
    Word: lambda value: Word(word(value)),
}
