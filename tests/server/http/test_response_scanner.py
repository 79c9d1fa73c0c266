"""Heads of responses are found wherever they stand, and within limits."""

from __future__ import annotations

import pytest

from ashpath.server.http.response_scanner import ResponseScanner

REFUSED = b"HTTP/1.1 429 X\r\nRetry-After: 2\r\nContent-Length: 4\r\n\r\n"
DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
MAX_HEAD_BYTES = 1000
MAX_BYTES = 4000


def scanner() -> ResponseScanner:
    return ResponseScanner(MAX_HEAD_BYTES, MAX_BYTES)


def waits(made: ResponseScanner, data: bytes) -> list[bytes]:
    """Returns the Retry-After of each response that is found."""
    return [response.headers.get(b"retry-after", b"") for response in made.feed(data)]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (REFUSED, [b"2"]),
        (DELIVERED + REFUSED + DELIVERED, [b"", b"2", b""]),
        (b"\x80\x81" + REFUSED, [b"2"]),
        (b"body HTTP/1.1 nonsense\r\n\r\n" + REFUSED, [b"2"]),
        (REFUSED + b"four" + REFUSED, [b"2", b"2"]),
        (REFUSED[:-30] + REFUSED, [b"2"]),  # the first one is cut
        (b"HTTP/1.1 200 OK\r\nX: cut in a value" + REFUSED, [b"2", b"2"]),
        (b"HTTP/1.1 429 X\r\nno header\r\n\r\n", []),
        (b"HTTP/2 429 X\r\nRetry-After: 2\r\n\r\n", []),
        (REFUSED[:-2], []),
        (b"\x15\x03\x03\x00\x02\x01\x00", []),
    ],
)
def test_whole_heads_are_found(data: bytes, expected: list[bytes]) -> None:
    assert waits(scanner(), data) == expected


def test_head_in_single_bytes_is_found_once() -> None:
    made = scanner()
    found = [wait for byte in DELIVERED + REFUSED for wait in waits(made, bytes([byte]))]
    assert found == [b"", b"2"]
    assert not made.has_partial_head


def test_cut_head_is_partial() -> None:
    made = scanner()
    assert waits(made, b"\x80" + REFUSED[:-2]) == []
    assert made.has_partial_head


def test_bytes_beyond_the_limit_are_not_scanned() -> None:
    made = scanner()
    assert waits(made, b"?" * (MAX_BYTES - 10) + REFUSED) == []
    assert made.bytes_left == 0
    assert waits(made, REFUSED) == []


def test_head_over_its_limit_is_not_found() -> None:
    made = scanner()
    head = REFUSED.replace(b"\r\n\r\n", b"\r\nX: " + b"x" * MAX_HEAD_BYTES + b"\r\n\r\n")
    assert waits(made, head) == []
    assert waits(made, REFUSED) == [b"2"]
