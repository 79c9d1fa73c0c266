"""Addresses on the network: host and port, and how they are written in settings and lists."""

from __future__ import annotations

from ashpath.server.errors import InvalidAddressError

Address = tuple[str, int]
"""Host and port."""

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def parse_address(text: str) -> Address:
    """Host and port. Raises InvalidAddressError.

    >>> parse_address("10.1.0.18:7070")
    ('10.1.0.18', 7070)
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or int(port) > MAX_PORT:
        raise InvalidAddressError(text)
    return host, int(port)
