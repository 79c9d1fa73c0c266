"""What can be wrong with a message or its connection: a type for each cause.

`ProtocolError` and its types mean that bytes came which are not HTTP as this side takes it; `status` is what
a server answers to them. `ConnectionClosedError` means that none came. A connection that fails or ends within
a message raises an OSError; that of its end, `TruncatedMessageError`, is a reset as the socket's own.
"""

from __future__ import annotations

from http import HTTPStatus


class ProtocolError(Exception):
    """What came in is not HTTP as this side takes it."""

    status: int = HTTPStatus.BAD_REQUEST
    """The status of the response to it, where it was a request."""
    message = "not HTTP as it is taken here"

    def __init__(self, message: str = "") -> None:
        super().__init__(message or self.message)


class ParserError(ProtocolError):
    """The parser refused it; the message is the parser's."""


class UpgradeError(ProtocolError):
    """Another protocol was asked for on this connection."""

    message = "no upgrades here"


class StatusLineError(ProtocolError):
    """The first line of a response is no status line."""

    message = "no status line"


class HeadError(ProtocolError):
    """A head that ends where none may end, or that is too long once it has ended."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"{kind} without a proper head")


class AmbiguousLengthError(ProtocolError):
    """The length of a body is given twice (RFC 9112, 6.3)."""

    message = "two lengths: who believes the other finds another message in the body"


class InvalidLengthError(ProtocolError):
    """Content-Length is no number."""

    message = "a length that is no number"


class UnknownLengthError(ProtocolError):
    """The end of a request's body is not known."""

    message = "an end that is not known"


class BodyEndError(ProtocolError):
    """A body is over before or behind the end that its head gave."""

    message = "a body that does not end where it should"


class ChunkSizeError(ProtocolError):
    """A chunk begins with no size."""

    message = "a chunk without a proper size"


class ChunkEndError(ProtocolError):
    """A chunk does not end where its size says."""

    message = "a chunk longer than its size"


class ChunkLineError(ProtocolError):
    """A line between chunks has no end."""

    message = "a line of chunks without end"


class TrailingBytesError(ProtocolError):
    """Bytes follow a request before its response is out."""

    message = "more than a request: its length is wrong, or no answer awaited"


class InvalidRequestError(ProtocolError):
    """Headers of a request to deliver are missing, repeated or not as they should be."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"not an envelope: {reason}")


class RepeatedHeaderError(InvalidRequestError):
    """A header of a request to deliver came more than once."""

    def __init__(self) -> None:
        super().__init__("told twice")


class InvalidNumberError(ValueError):
    """A field that is no whole number in plain digits."""

    def __init__(self, text: bytes) -> None:
        super().__init__(f"{text!r} is no whole number")


class InvalidTokenError(ValueError):
    """A field that is empty, too long, or not printable."""

    def __init__(self) -> None:
        super().__init__("not a printable word")


class TooManyInterimResponsesError(ProtocolError):
    """Only responses with a status below 200 came."""

    message = "interim answers without end"


class UnreadableResponseError(ProtocolError):
    """A response with status 200 whose rest cannot be read."""

    message = "an answer that cannot be read"


class RequestTimeoutError(ProtocolError):
    """A request was not whole in time."""

    status = HTTPStatus.REQUEST_TIMEOUT
    message = "a request without an end"


class ShutdownDuringRequestError(ProtocolError):
    """A request was not whole as the shutdown stopped waiting for it."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    message = "a request that was not whole before the end"


class IncompleteResponseError(ProtocolError):
    """A response did not end in time after its first line."""

    status = HTTPStatus.REQUEST_TIMEOUT
    message = "an answer without an end"


class BodyTooLongError(ProtocolError):
    """A body is over the bound."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    message = "body too long"


class ResponseTooLongError(BodyTooLongError):
    """The length that a response gives is over the bound."""

    message = "an answer too long"


class ChunkOverheadError(BodyTooLongError):
    """The lines between chunks, or all of a body with them, are over the bound."""

    message = "chunks with too much beside them"


class HeadTooLongError(ProtocolError):
    """A head is over the bound."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def __init__(self, kind: str) -> None:
        super().__init__(f"{kind} with a head too long")


class StatusLineTooLongError(ProtocolError):
    """The first line of a response is over the bound of a head."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    message = "a first line without end"


class TruncatedMessageError(ConnectionResetError):
    """The far end closed within a message."""


class TruncatedStatusLineError(TruncatedMessageError):
    """The far end closed within the first line of a response."""

    def __init__(self) -> None:
        super().__init__("ended within the first line")


class TruncatedHeadError(TruncatedMessageError):
    """The far end closed within a head."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"ended within the head of the {kind}")


class TruncatedBodyError(TruncatedMessageError):
    """The far end closed within a body."""

    def __init__(self) -> None:
        super().__init__("ended within a body")


class ConnectionClosedError(Exception):
    """The far end closed before the first byte of a message."""
