"""The end of chunked bodies: chunks that arrive in pieces, and invalid ones."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ashpath.server.http.errors import (
    BodyTooLongError,
    ChunkEndError,
    ChunkLineError,
    ChunkOverheadError,
    ChunkSizeError,
    ProtocolError,
)
from ashpath.server.http.framing import MAX_CHUNKS_PER_STEP, ChunkedFraming
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


def end_in(buffer: ReceiveBuffer, framing: ChunkedFraming) -> int | None:
    """Examines all that is in the buffer, step by step."""
    end = framing.end(buffer)
    while framing.has_more:
        end = framing.end(buffer)
    return end


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
        end_in(buffer, ChunkedFraming(MAX_BODY_BYTES))
    assert type(raised.value) is error


@pytest.mark.parametrize(("chunk", "is_allowed"), [(1, False), (16, False), (64, True), (4096, True)])
def test_framing_is_bounded_by_share_of_body(chunk: int, is_allowed: bool) -> None:
    """Guards against bodies whose chunks cost much work and bring few bytes."""
    buffer, framing = ReceiveBuffer(64, 64), ChunkedFraming(64 << 10)
    receive(buffer, (b"%x\r\n" % chunk + b"x" * chunk + b"\r\n") * (60_000 // chunk) + b"0\r\n\r\n")
    if is_allowed:
        assert end_in(buffer, framing) == len(buffer)
    else:
        with pytest.raises(ChunkOverheadError):
            end_in(buffer, framing)
        assert framing.position - framing.body_bytes < 2048 + 60_000 // 8


def test_step_examines_bounded_number_of_chunks() -> None:
    """Guards against one body that holds the event loop for long."""
    buffer, framing = ReceiveBuffer(64, 64), ChunkedFraming(64 << 10)
    receive(buffer, b"1\r\nx\r\n" * 300)
    assert framing.end(buffer) is None
    assert framing.body_bytes == MAX_CHUNKS_PER_STEP
    assert framing.has_more
    assert framing.end(buffer) is None
    assert framing.body_bytes == 300
    assert not framing.has_more


CHUNKED_BYTES = st.lists(
    st.one_of(
        st.sampled_from(
            [b"1\r\nx\r\n", b"3;x=y\r\nabc\r\n", b"0\r\n", b"t: 1\r\n", b"\r\n", b"zz\r\n", b"\r"]
        ),
        st.binary(max_size=20),
    ),
    max_size=400,
).map(b"".join)


def verdict(pieces: list[bytes]) -> str:
    """Returns the end, the error or `incomplete` for a body that arrives in these pieces."""
    buffer, framing = ReceiveBuffer(64, 64), ChunkedFraming(MAX_BODY_BYTES)
    for piece in pieces:
        receive(buffer, piece)
        try:
            end = end_in(buffer, framing)
        except ProtocolError as error:
            return type(error).__name__
        if end is not None:
            return str(end)
    return "incomplete"


@settings(max_examples=300, deadline=None)
@given(data=CHUNKED_BYTES, cuts=st.lists(st.integers(0, 2000), max_size=6))
def test_any_split_of_body_has_verdict_of_whole(data: bytes, cuts: list[int]) -> None:
    """A body is judged by its bytes, not by how they arrive."""
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    pieces = [data[begin:end] for begin, end in pairwise(places)]
    assert verdict(pieces) == verdict([data])
