"""Parses and formats durations, sizes, addresses, names and URLs as users write them.

A number without a unit is rejected, as the reader would have to guess the unit. Every error that the parsers
raise is a ValueError, which validation reports as a fault of the key.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from ipaddress import IPv4Address
from typing import NamedTuple
from urllib.parse import urlsplit

from ashpath.config.errors import InvalidAddressError, InvalidAmountError, InvalidNameError

TIMES = {"us": 1, "ms": 1000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
"""Microseconds per unit."""
SIZES = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
"""Bytes per unit."""
AMOUNT = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?) ?([A-Za-z]+)", re.ASCII)
HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?", re.ASCII)
NAME = re.compile(r"[!-~]{1,64}")
FORBIDDEN_NAME_CHARACTERS = frozenset("/\\\"'")
MAX_PORT = 65535


class Duration(int):
    """A duration in whole microseconds."""


class Size(int):
    """A size in bytes."""


class Address(str):
    """A text of the form HOST:PORT."""


class Name(str):
    """A printable text without spaces, which can be part of a header, a log line and a path."""


class HttpTarget(NamedTuple):
    """The address and path of HTTP requests."""

    address: str
    path: str


def parse_amount(text: object, units: dict[str, int]) -> int:
    """Returns the amount in the smallest unit, rounded. Raises InvalidAmountError.

    >>> parse_amount("4s", TIMES), parse_amount("1.5 ms", TIMES), parse_amount("64KiB", SIZES)
    (4000000, 1500, 65536)
    >>> parse_amount("4", TIMES)  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ashpath...InvalidAmountError: expected a number with a unit
    """
    match = AMOUNT.fullmatch(text) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        raise InvalidAmountError
    return round(float(match[1]) * units[match[2]])


def format_amount(value: int, units: dict[str, int]) -> str:
    """Returns the amount in the largest unit that divides it; `parse_amount` reads the text back.

    >>> format_amount(4_000_000, TIMES), format_amount(65536, SIZES), format_amount(0, TIMES)
    ('4s', '64KiB', '0s')
    >>> format_amount(2_400_000, TIMES)
    '2400ms'
    """
    if not value:
        return "0s" if units is TIMES else "0B"
    name = max((name for name, size in units.items() if value % size == 0), key=lambda name: units[name])
    return f"{value // units[name]}{name}"


def parse_address(text: object) -> Address:
    """Returns the text if it is an IPv4 address or a host name with a port, else raises ValueError.

    >>> parse_address("127.0.0.1:7070")
    '127.0.0.1:7070'
    >>> parse_address("[::1]:7070")  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ashpath...InvalidAddressError: expected an IPv4 address or a host name with a port
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    has_port = port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) <= MAX_PORT
    if not has_port or not HOST.fullmatch(host):
        raise InvalidAddressError
    if re.fullmatch(r"[0-9.]+", host):
        IPv4Address(host)
    return Address(text)


def parse_name(text: object) -> Name:
    """Returns the text if it can be part of a header, a log line and a path, else raises InvalidNameError."""
    if not isinstance(text, str) or not NAME.fullmatch(text) or set(text) & FORBIDDEN_NAME_CHARACTERS:
        raise InvalidNameError
    return Name(text)


def parse_http_url(url: str) -> HttpTarget | None:
    """Returns the address and path of a plain HTTP URL, or None if the text is no such URL.

    >>> parse_http_url("http://127.0.0.1:9100/ends")
    HttpTarget(address='127.0.0.1:9100', path='/ends')
    >>> parse_http_url("https://127.0.0.1/"), parse_http_url("http://h:1/a b")
    (None, None)
    """
    try:
        parts = urlsplit(url)
        address = parse_address(parts.netloc)
    except ValueError:
        return None
    is_plain_text = url.isascii() and url.isprintable() and " " not in url
    if not is_plain_text or parts.scheme != "http" or parts.query or parts.fragment:
        return None
    return HttpTarget(address, parts.path or "/")


PARSERS: dict[object, Callable[[object], object]] = {
    Duration: lambda value: Duration(parse_amount(value, TIMES)),
    Size: lambda value: Size(parse_amount(value, SIZES)),
    Address: parse_address,
    Name: parse_name,
}
"""The functions that convert a value of the file to these types; msgspec converts the other types."""
