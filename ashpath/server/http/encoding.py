"""Encodes HTTP messages."""

from __future__ import annotations

from collections.abc import Sequence

from ashpath.core.time_units import SECOND
from ashpath.server import wire_names

Header = tuple[bytes, bytes]

STATUS_LINES = {
    200: b"HTTP/1.1 200 OK",
    202: b"HTTP/1.1 202 Accepted",
    400: b"HTTP/1.1 400 Bad Request",
    404: b"HTTP/1.1 404 Not Found",
    405: b"HTTP/1.1 405 Method Not Allowed",
    408: b"HTTP/1.1 408 Request Timeout",
    409: b"HTTP/1.1 409 Conflict",
    413: b"HTTP/1.1 413 Content Too Large",
    431: b"HTTP/1.1 431 Request Header Fields Too Large",
    500: b"HTTP/1.1 500 Internal Server Error",
    503: b"HTTP/1.1 503 Service Unavailable",
}


def host_header(address: tuple[str, int]) -> Header:
    """Returns the Host header for an address.

    >>> host_header(("10.1.0.18", 7070))
    (b'host', b'10.1.0.18:7070')
    """
    return b"host", b"%s:%d" % (address[0].encode(), address[1])


def encode_message(first_line: bytes, headers: Sequence[Header], body: bytes) -> bytes:
    """Returns an encoded message, with a Content-Length header for its body.

    >>> encode_message(b"POST /hook HTTP/1.1", [(b"host", b"x")], b"ab")
    b'POST /hook HTTP/1.1\\r\\nhost: x\\r\\ncontent-length: 2\\r\\n\\r\\nab'
    """
    lines = [first_line, *(name + b": " + value for name, value in headers)]
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(
    status: int, *, keep_alive: bool = True, retry_after: int = 0, body: bytes = b""
) -> bytes:
    """Returns an encoded response; `retry_after` is in microseconds, 0 for none.

    >>> encode_response(503, keep_alive=False, retry_after=1_500_000).splitlines()[:3]
    [b'HTTP/1.1 503 Service Unavailable', b'connection: close', b'retry-after: 1.500']
    """
    headers = [] if keep_alive else [(b"connection", b"close")]
    if retry_after > 0:
        headers.append((wire_names.RETRY_AFTER_HEADER, b"%.3f" % (retry_after / SECOND)))
    return encode_message(STATUS_LINES[status], headers, body)
