"""Errors of HTTP messages and their connections, one type for each cause.

`ProtocolError` and its subclasses report received bytes that are not valid or not accepted HTTP; `status` is
the status that a server responds with. `ConnectionClosedError` reports an end before the first byte. A
connection that fails or ends within a message raises an OSError; for the end it is `TruncatedMessageError`, a
ConnectionResetError like that of the socket.
"""

from __future__ import annotations

from http import HTTPStatus


class ProtocolError(Exception):
    """The received bytes are not valid or not accepted HTTP."""

    status: int = HTTPStatus.BAD_REQUEST
    """The status of the response to an invalid request."""
    message = "invalid HTTP message"

    def __init__(self, message: str = "") -> None:
        super().__init__(message or self.message)


class ParserError(ProtocolError):
    """The parser rejected the message; the text is the parser's."""


class UpgradeError(ProtocolError):
    """The peer requested a switch to another protocol."""

    message = "protocol upgrade not supported"


class StatusLineError(ProtocolError):
    """The first line of a response is not a status line."""

    message = "invalid status line"


class HeadError(ProtocolError):
    """A head ends at an invalid place, or is complete and too long."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"{kind} head invalid or too long")


class AmbiguousLengthError(ProtocolError):
    """The length of a body is given twice (RFC 9112, 6.3).

    A recipient that uses the other length would find another message in the body."""

    message = "body length given twice"


class InvalidLengthError(ProtocolError):
    """Content-Length is not a number, or has too many digits."""

    message = "invalid Content-Length"


class UnknownLengthError(ProtocolError):
    """The end of a request's body is unknown."""

    message = "end of the request body unknown"


class BodyEndError(ProtocolError):
    """A body does not end at the position that its head gives."""

    message = "body does not end where its head says"


class ChunkSizeError(ProtocolError):
    """A chunk does not begin with a valid size."""

    message = "chunk without a valid size"


class ChunkEndError(ProtocolError):
    """A chunk does not end at the position that its size gives."""

    message = "chunk longer than its size"


class ChunkLineError(ProtocolError):
    """A line between chunks does not end within the limit."""

    message = "chunk line without an end"


class TrailingBytesError(ProtocolError):
    """Bytes follow a request before its response is written.

    The length of the request is wrong, or the client does not wait for the response."""

    message = "bytes after the request: wrong length, or a client that does not wait for the response"


class InvalidRequestError(ProtocolError):
    """Headers of a request that submits a message are missing, repeated or invalid."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"invalid request: {reason}")


class RepeatedHeaderError(InvalidRequestError):
    """A header of a request that submits a message is repeated."""

    def __init__(self) -> None:
        super().__init__("header repeated")


class InvalidNumberError(ValueError):
    """A field is not a whole number in plain digits, or has too many digits."""

    def __init__(self, text: bytes) -> None:
        super().__init__(f"{text!r} is not a whole number")


class InvalidTokenError(ValueError):
    """A field is empty, too long, or not printable ASCII."""

    def __init__(self) -> None:
        super().__init__("not a printable ASCII token")


class TooManyInterimResponsesError(ProtocolError):
    """Only responses with a status below 200 were received, up to the limit."""

    message = "too many interim responses"


class UnreadableResponseError(ProtocolError):
    """The rest of a response with status 200 cannot be read."""

    message = "unreadable response"


class RequestTimeoutError(ProtocolError):
    """A request was incomplete at its time limit."""

    status = HTTPStatus.REQUEST_TIMEOUT
    message = "request incomplete at its time limit"


class ShutdownDuringRequestError(ProtocolError):
    """A request was incomplete when the shutdown stopped waiting for it."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    message = "request incomplete when the shutdown stopped waiting"


class IncompleteResponseError(ProtocolError):
    """A response was incomplete at its time limit, which begins after the status line."""

    status = HTTPStatus.REQUEST_TIMEOUT
    message = "response incomplete at its time limit"


class BodyTooLongError(ProtocolError):
    """A body exceeds its size limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    message = "body too long"


class ResponseTooLongError(BodyTooLongError):
    """The length that a response declares exceeds the size limit."""

    message = "response body too long"


class ChunkOverheadError(BodyTooLongError):
    """A line between chunks, or a body with its chunk framing, exceeds its size limit."""

    message = "chunk framing too long"


class HeadTooLongError(ProtocolError):
    """A head exceeds its size limit."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def __init__(self, kind: str) -> None:
        super().__init__(f"{kind} head too long")


class MemoryBudgetError(ProtocolError):
    """The process has no memory for a request; the client may send it again later."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    message = "no memory for the request"


class StalledRequestError(ProtocolError):
    """A request made so little progress that its connection, or its memory, is given to another one."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    message = "request stalled"


class TooManyHeadersError(ProtocolError):
    """A request has more headers than the limit."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    message = "too many headers"


class StatusLineTooLongError(ProtocolError):
    """The first line of a response exceeds the size limit of a head."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    message = "status line too long"


class TruncatedMessageError(ConnectionResetError):
    """The peer closed the connection within a message."""


class TruncatedStatusLineError(TruncatedMessageError):
    """The peer closed the connection within the status line of a response."""

    def __init__(self) -> None:
        super().__init__("connection closed within the status line")


class TruncatedHeadError(TruncatedMessageError):
    """The peer closed the connection within a head."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"connection closed within the {kind} head")


class TruncatedBodyError(TruncatedMessageError):
    """The peer closed the connection within a body."""

    def __init__(self) -> None:
        super().__init__("connection closed within a body")


class ConnectionClosedError(Exception):
    """The peer closed the connection before the first byte of a message."""
