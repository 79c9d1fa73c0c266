"""Network addresses, host and port, and their form in settings and endpoint lists."""

from __future__ import annotations

from ashpath.server.errors import InvalidAddressError

Address = tuple[str, int]
"""Host and port."""

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def parse_address(text: str) -> Address:
    """Returns host and port. Raises InvalidAddressError if the text is not an address.

    >>> parse_address("10.1.0.18:7070")
    ('10.1.0.18', 7070)
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or int(port) > MAX_PORT:
        raise InvalidAddressError(text)
    return host, int(port)
