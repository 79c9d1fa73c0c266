"""What the clients of a crowd send, by shape."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import StrEnum
from itertools import count, repeat

from msgspec import Struct

from ashpath.server import wire_names

HEAD_BYTES = 16_000  # of a head that is large, and within the limit of 16 KiB
BODY_BYTES = 60_000  # of a body that is large, and within the limit of 64 KiB
SENT_BODY_BYTES = 59_000  # of it, where the client stops within it
PIECE_BYTES = 1000  # of a body that is written slowly
PIECE_INTERVAL_S = 0.02
CHUNKED_BYTES = 128 << 10  # of a chunked body with its framing
EXTENSION_BYTES = 1000  # of a chunk's extension
REQUESTS_PER_WRITE = 50  # of a client that does not wait for responses
MESSAGES_PER_CLIENT = 100_000_000  # numbers of messages that one client may use
SHORT_FIELD = b"%x:\r\n"


class CrowdShape(StrEnum):
    """A kind of client."""

    MANY_FIELDS_HALF_BODY = "many fields, half body"
    """A head of very many short fields, most of a large body, then silence."""
    MANY_FIELDS_HALF_HEAD = "many fields, half head"
    """The same head without its end, then silence."""
    HALF_BODY = "half body"
    """Most of a large body, then silence."""
    SLOW_BODY = "slow body"
    """A large body in small pieces."""
    HALF_CHUNKED_BODY = "half chunked body"
    """Most of a large body in chunks of moderate size, then silence."""
    ONE_BYTE_CHUNKS = "one-byte chunks"
    """A body in chunks of one byte, as fast as possible."""
    CHUNK_EXTENSIONS = "chunk extensions"
    """A body in small chunks with long extensions, as fast as possible."""
    ENDLESS_HEAD = "endless head"
    """Fields without end, as fast as possible."""
    SILENT = "silent"
    """Nothing."""
    PIPELINED = "pipelined"
    """Requests without waiting for their responses, as fast as possible."""
    NONSENSE = "nonsense"
    """Bytes that are not HTTP, as fast as possible."""
    NEW_NAMES = "new names"
    """Invalid requests under ever new names of everything, each after the response to the one before."""
    LARGE_MESSAGES = "large messages"
    """Messages with a large body that are accepted, each after the response to the one before."""
    SMALL_REQUESTS = "small requests"
    """Valid requests that submit nothing, each after the response to the one before, at full speed."""


class Script(Struct, frozen=True):
    """What one client does on one connection."""

    pieces: Iterator[bytes]
    """What it writes, piece by piece."""
    interval_s: float = 0.0
    """Between two pieces."""
    awaits_responses: bool = False
    """Each piece is a request that is written after the response to the one before, and the client stays
    until the sender ends the connection."""


class ClientIdentity(Struct, frozen=True):
    """What tells the messages of one client from those of others."""

    number: int
    traffic_class: bytes = b"free"
    """Of its messages; those of a class that the sender does not have are rejected."""


def submit_head(number: int, length_fields: bytes, traffic_class: bytes = b"free") -> bytes:
    """Returns the head of a request that submits a message, without the empty line."""
    return b"POST %s HTTP/1.1\r\nHost: x\r\n%s: crowd-%d\r\n%s: %s\r\n%s: 5000\r\n%s: dest=1\r\n%s\r\n" % (
        wire_names.SUBMIT_PATH,
        wire_names.TRACE_ID_HEADER,
        number,
        wire_names.TRAFFIC_CLASS_HEADER,
        traffic_class,
        wire_names.TIME_LEFT_HEADER,
        wire_names.DESTINATION_HEADER,
        length_fields,
    )


def large_body_head(client: ClientIdentity, each: int = 0) -> bytes:
    """Returns the head of a request with a large body, without the empty line."""
    number = client.number * MESSAGES_PER_CLIENT + each
    return submit_head(number, b"Content-Length: %d" % BODY_BYTES, client.traffic_class)


def with_many_fields(head: bytes) -> bytes:
    """Returns a head that is filled up with short distinct fields."""
    fields: list[bytes] = []
    size = len(head)
    for number in count():
        field = SHORT_FIELD % number
        size += len(field)
        if size > HEAD_BYTES:
            return head + b"".join(fields)
        fields.append(field)
    raise AssertionError  # `count` does not end


def many_fields_half_body(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(iter([with_many_fields(large_body_head(client)) + b"\r\n" + b"b" * SENT_BODY_BYTES]))


def many_fields_half_head(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(iter([with_many_fields(large_body_head(client))]))


def half_body(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(iter([large_body_head(client) + b"\r\n" + b"b" * SENT_BODY_BYTES]))


def slow_body(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    pieces = [large_body_head(client) + b"\r\n"] + [b"b" * PIECE_BYTES] * (BODY_BYTES // PIECE_BYTES)
    return Script(iter(pieces), interval_s=PIECE_INTERVAL_S)


def chunked(client: ClientIdentity, chunk: bytes, size: int) -> bytes:
    """Returns a chunked request without its last chunk."""
    head = submit_head(client.number, b"Transfer-Encoding: chunked", client.traffic_class)
    return head + b"\r\n" + chunk * (size // len(chunk))


def half_chunked_body(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(iter([chunked(client, b"400\r\n" + b"b" * 1024 + b"\r\n", SENT_BODY_BYTES)]))


def one_byte_chunks(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(iter([chunked(client, b"1\r\nb\r\n", CHUNKED_BYTES)]))


def chunk_extensions(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(iter([chunked(client, b"1;x=" + b"e" * EXTENSION_BYTES + b"\r\nb\r\n", CHUNKED_BYTES)]))


def endless_head(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(
        iter([with_many_fields(large_body_head(client)), *([SHORT_FIELD % client.number * 1000] * 50)])
    )


def silent(_: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(iter(()))


def pipelined(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    requests = b"".join(
        submit_head(client.number * REQUESTS_PER_WRITE + each, b"Content-Length: 1", client.traffic_class)
        + b"\r\nb"
        for each in range(REQUESTS_PER_WRITE)
    )
    return Script(repeat(requests, 20))


def nonsense(_: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(repeat(b"\x00\x01nonsense\r\n\r\n" * 500, 20))


def new_names(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""

    def requests() -> Iterator[bytes]:
        for each in count():
            name = b"%d-%d" % (client.number, each)
            yield (
                b"POST /api HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: class-%s\r\nX-Expires-In-Ms: 5000\r\n"
                b"X-Route-To: dest=%d\r\nX-%s: 1\r\nCookie: about=%s\r\nContent-Length: 1\r\n\r\nb"
            ) % (name, name, 1000 + each, name, name)

    return Script(requests(), awaits_responses=True)


def large_messages(client: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    body = b"\r\n" + b"b" * BODY_BYTES
    requests = (large_body_head(client, each) + body for each in count())
    return Script(requests, awaits_responses=True)


def small_requests(_: ClientIdentity) -> Script:
    """See `CrowdShape`."""
    return Script(repeat(b"GET /nowhere HTTP/1.1\r\n\r\n"), awaits_responses=True)


SCRIPTS: dict[CrowdShape, Callable[[ClientIdentity], Script]] = {
    CrowdShape.MANY_FIELDS_HALF_BODY: many_fields_half_body,
    CrowdShape.MANY_FIELDS_HALF_HEAD: many_fields_half_head,
    CrowdShape.HALF_BODY: half_body,
    CrowdShape.SLOW_BODY: slow_body,
    CrowdShape.HALF_CHUNKED_BODY: half_chunked_body,
    CrowdShape.ONE_BYTE_CHUNKS: one_byte_chunks,
    CrowdShape.CHUNK_EXTENSIONS: chunk_extensions,
    CrowdShape.ENDLESS_HEAD: endless_head,
    CrowdShape.SILENT: silent,
    CrowdShape.PIPELINED: pipelined,
    CrowdShape.NONSENSE: nonsense,
    CrowdShape.NEW_NAMES: new_names,
    CrowdShape.LARGE_MESSAGES: large_messages,
    CrowdShape.SMALL_REQUESTS: small_requests,
}
