"""Finds whole heads of responses in bytes of which nobody knows where a message begins.

Such bytes come on connections without a request out, behind bytes that are no response, or from the middle of
a response that was given up. Any place at which a status line begins, and from which a valid head can be read
up to an empty line, counts as the head of a response. Bodies are not skipped: the length that a cut response
gives would hide what stands in place of its body.

The scanner takes `max_bytes` in all, and keeps the last `max_head_bytes` without an empty line.
"""

from __future__ import annotations

import re

import httptools

from ashpath.server.http.connection import END_OF_HEAD, feed
from ashpath.server.http.errors import ProtocolError
from ashpath.server.http.messages import HttpResponse

RESPONSE_START = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
MAX_STARTS = 4  # the last ones before an empty line, as the first may be those of cut responses


class ResponseScanner:
    """Scans the bytes of one connection, in the pieces in which they arrive.

    >>> scanner = ResponseScanner(max_head_bytes=100, max_bytes=1000)
    >>> pieces = b"?HTTP/1.1 200 X\\r\\n\\r\\nHTTP/1.1 42", b"9 X\\r\\nAge: 2\\r\\n\\r\\nHTTP/1.1 503 "
    >>> [[response.status for response in scanner.feed(piece)] for piece in pieces]
    [[200], [429]]
    >>> scanner.has_partial_head
    True
    """

    def __init__(self, max_head_bytes: int, max_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.bytes_left = max_bytes
        self._unscanned = b""

    @property
    def has_partial_head(self) -> bool:
        """Whether the bytes so far end within what may be a head."""
        return RESPONSE_START.search(self._unscanned) is not None

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Returns the responses whose heads are complete with these bytes, without their bodies."""
        data = data[: self.bytes_left]
        self.bytes_left -= len(data)
        blocks = (self._unscanned + data).split(END_OF_HEAD)
        self._unscanned = blocks.pop()[-self.max_head_bytes :]
        return [response for block in blocks for response in heads_in(block[-self.max_head_bytes :])]


def heads_in(block: bytes) -> list[HttpResponse]:
    """Returns the responses whose heads end with the block, which an empty line follows."""
    starts = [match.start() for match in RESPONSE_START.finditer(block)]
    heads = (parse_head(block[start:] + END_OF_HEAD) for start in starts[-MAX_STARTS:])
    return [head for head in heads if head is not None]


def parse_head(head: bytes) -> HttpResponse | None:
    """Returns the response with this head, or None if the head is invalid."""
    response = HttpResponse()
    parser = httptools.HttpResponseParser(response)
    try:
        feed(parser, head)
    except ProtocolError:
        return None
    response.status = parser.get_status_code()
    return response if response.head_complete else None
