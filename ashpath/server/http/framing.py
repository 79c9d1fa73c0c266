"""Finds the end of a message's body (RFC 9112, 6 and 7.1).

The parser is fed a body only once its end is in the buffer, so that no byte beyond a message is consumed.
"""

from __future__ import annotations

import re

from ashpath.server.http.errors import (
    AmbiguousLengthError,
    BodyTooLongError,
    ChunkEndError,
    ChunkLineError,
    ChunkOverheadError,
    ChunkSizeError,
    InvalidLengthError,
)
from ashpath.server.http.messages import HttpMessage, HttpRequest
from ashpath.server.http.receive_buffer import ReceiveBuffer
from ashpath.server.wire_names import CONTENT_LENGTH_HEADER, TRANSFER_ENCODING_HEADER

LENGTH_HEADERS = {CONTENT_LENGTH_HEADER, TRANSFER_ENCODING_HEADER}
MAX_CONTENT_LENGTH_DIGITS = 15
CHUNK_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(;[^\x00-\x08\x0a-\x1f]*)?")
MAX_CHUNK_LINE_BYTES = 1024  # of a chunk's size with its extensions, or of a trailer line
LINE_END = b"\r\n"
MIN_OVERHEAD_BYTES = 2 << 10  # of chunk framing, whatever the size of the body
OVERHEAD_DIVISOR = 8  # further framing may be this part of the body
MAX_CHUNKS_PER_STEP = 256  # examined without a switch of greenlets


class ChunkedFraming:
    """Finds the end of a chunked body as it arrives, and consumes nothing.

    The framing may have `MIN_OVERHEAD_BYTES`, and more in proportion to the body: each chunk costs work,
    however small it is. `end` examines at most `MAX_CHUNKS_PER_STEP` chunks, and sets `has_more` if there are
    others in the buffer.

    >>> buffer, framing = ReceiveBuffer(64, 64), ChunkedFraming(64)
    >>> def received(data):
    ...     buffer.free_space(len(data))[:len(data)] = data
    ...     buffer.commit(len(data))
    ...     return framing.end(buffer)
    >>> parts = b"3;x=1\\r\\nab", b"c\\r", b"\\n0\\r\\nt: 1\\r\\n", b"\\r\\nHTTP"
    >>> [received(part) for part in parts]
    [None, None, None, 23]
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_bytes = 2 * max_body_bytes
        self.body_bytes = 0  # of the chunks up to `position`, without framing
        self.has_more = False  # chunks behind `position` may be examined without a further byte
        self.position = 0  # of the first line that is not checked yet
        self.in_trailer = False  # the last chunk has been found

    def end(self, buffer: ReceiveBuffer) -> int | None:
        """Returns the body's length with its framing in bytes, or None until its end is found.

        Raises ProtocolError."""
        self.has_more = False
        for _ in range(MAX_CHUNKS_PER_STEP):
            line_end = buffer.find(LINE_END, self.position)
            if line_end < 0:
                break
            line = buffer.peek(self.position, line_end)
            next_line = line_end + len(LINE_END)
            if self.in_trailer and not line:
                return next_line
            if not self.in_trailer:
                size = self.chunk_size(line)
                if size and len(buffer) < next_line + size + len(LINE_END):
                    return None
                if size:
                    next_line += size
                    if buffer.peek(next_line, next_line + len(LINE_END)) != LINE_END:
                        raise ChunkEndError
                    next_line += len(LINE_END)
                self.in_trailer = not size
                self.body_bytes += size
            if len(line) > MAX_CHUNK_LINE_BYTES or next_line - self.body_bytes > self.max_overhead():
                raise ChunkOverheadError
            self.position = next_line
        else:
            self.has_more = True
            return None
        if len(buffer) - self.position > MAX_CHUNK_LINE_BYTES:
            raise ChunkLineError
        return None

    def max_overhead(self) -> int:
        """Returns how many bytes of framing the body may have so far."""
        return MIN_OVERHEAD_BYTES + self.body_bytes // OVERHEAD_DIVISOR

    def chunk_size(self, line: bytes) -> int:
        """Returns the size in bytes of the chunk after this line. Raises ProtocolError."""
        match = CHUNK_SIZE_LINE.fullmatch(line)
        if match is None:
            raise ChunkSizeError
        size = int(match[1], 16)
        if self.position + size > self.max_bytes:
            raise BodyTooLongError
        return size


BodyFraming = int | ChunkedFraming | None
"""A length in bytes, chunks, or None for a body that ends with the connection."""


def body_framing(message: HttpMessage, max_body_bytes: int) -> BodyFraming:
    """Returns the framing of the body of a message whose head is complete. Raises ProtocolError."""
    headers = message.headers
    if message.repeated_headers.keys() & LENGTH_HEADERS or headers.keys() >= LENGTH_HEADERS:
        raise AmbiguousLengthError
    coding = headers.get(TRANSFER_ENCODING_HEADER)
    if coding is not None:
        return ChunkedFraming(max_body_bytes) if coding.lower() == b"chunked" else None
    length = headers.get(CONTENT_LENGTH_HEADER)
    if length is None:
        return 0 if isinstance(message, HttpRequest) or message.complete else None
    if not length.isdigit() or len(length) > MAX_CONTENT_LENGTH_DIGITS:
        raise InvalidLengthError
    return int(length)


def known_end(framing: BodyFraming, buffer: ReceiveBuffer) -> int | None:
    """Returns the length in bytes of the body at the start of the buffer, or None while it is unknown."""
    return framing.end(buffer) if isinstance(framing, ChunkedFraming) else framing
