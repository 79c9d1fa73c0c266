"""The end of chunked bodies: chunks that arrive in pieces, and invalid ones."""

from __future__ import annotations

import pytest

from ashpath.server.http.errors import (
    BodyTooLongError,
    ChunkEndError,
    ChunkLineError,
    ChunkOverheadError,
    ChunkSizeError,
    ProtocolError,
)
from ashpath.server.http.framing import ChunkedFraming
from ashpath.server.http.receive_buffer import ReceiveBuffer

MAX_BODY_BYTES = 2048
BODY = b"2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n"
# The begin of an invalid chunked body, its error and the message of that.
INVALID: dict[bytes, tuple[type[ProtocolError], str]] = {
    b"zz\r\n": (ChunkSizeError, "chunk without a valid size"),
    b"-2\r\n": (ChunkSizeError, "chunk without a valid size"),
    b"ffffffff\r\nok": (BodyTooLongError, "body too long"),
    b"3\r\nokay\r\n": (ChunkEndError, "chunk longer than its size"),
    b"2;" + b"a" * 2000: (ChunkLineError, "chunk line without an end"),
    b"2;" + b"a" * 2000 + b"\r\nok\r\n": (ChunkOverheadError, "chunk framing too long"),
    b"1\r\nx\r\n" * 800: (ChunkOverheadError, "chunk framing too long"),
}


def receive(buffer: ReceiveBuffer, data: bytes) -> None:
    """Writes bytes to a buffer as a socket does."""
    with buffer.free_space(len(data)) as space:
        space[: len(data)] = data
    buffer.commit(len(data))


def test_body_end_is_found_with_its_last_byte() -> None:
    buffer, framing = ReceiveBuffer(64, 64), ChunkedFraming(MAX_BODY_BYTES)
    ends = []
    for position in range(len(BODY)):
        receive(buffer, BODY[position : position + 1])
        ends.append(framing.end(buffer))
    assert ends == [None] * (len(BODY) - 1) + [len(BODY)]
    assert buffer.consume(len(BODY)) == BODY


def test_bytes_after_body_are_not_part_of_it() -> None:
    buffer = ReceiveBuffer(64, 64)
    receive(buffer, BODY + b"HTTP/1.1 200 OK\r\n")
    assert ChunkedFraming(MAX_BODY_BYTES).end(buffer) == len(BODY)


@pytest.mark.parametrize("data", INVALID, ids=lambda data: str(data[:20]))
def test_invalid_chunks_raise_specific_error(data: bytes) -> None:
    error, message = INVALID[data]
    buffer = ReceiveBuffer(64, 64)
    receive(buffer, data)
    with pytest.raises(ProtocolError, match=message) as raised:
        ChunkedFraming(MAX_BODY_BYTES).end(buffer)
    assert type(raised.value) is error
