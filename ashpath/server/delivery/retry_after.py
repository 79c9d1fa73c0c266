"""Reads the wait that a response asks for, from its status and its Retry-After fields.

| field | meaning |
| --- | --- |
| digits, also with decimals | so many seconds |
| more than `MAX_SECONDS` | `MAX_SECONDS` |
| a sign, an exponent, `nan`, a date, empty | none; the protocol has seconds alone |
| several fields | the longest wait among them |
"""

from __future__ import annotations

import re

from ashpath.core.time_units import SECOND
from ashpath.server import wire_names
from ashpath.server.http.messages import HttpResponse

WAIT_STATUSES = frozenset({429, 503})
SECONDS = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")
MAX_SECONDS = 1e6


def parse_seconds(text: bytes) -> float | None:
    """Returns the seconds of one field, or None if it has none.

    >>> [parse_seconds(text) for text in (b"2.917", b"5", b".5", b"1000000000")]
    [2.917, 5.0, 0.5, 1000000.0]
    >>> [parse_seconds(text) for text in (b"-1", b"+1", b"1e3", b"nan", b"", b"Fri, 04 Dec 2026")]
    [None, None, None, None, None, None]
    """
    return min(float(text), MAX_SECONDS) if SECONDS.fullmatch(text) else None


def retry_after(response: HttpResponse) -> int:
    """Returns the microseconds for which a response asks not to be called; 0 if it asks for no wait."""
    if response.status not in WAIT_STATUSES:
        return 0
    fields = response.values(wire_names.RETRY_AFTER_HEADER)
    seconds = (parse_seconds(field) for field in fields)
    return round(max((each for each in seconds if each is not None), default=0.0) * SECOND)
