"""States of a client-side connection: the responses that leave it ready, and those that make it unusable."""

from __future__ import annotations

import pytest
from gevent import socket
from support.sender_parts import SocketPairConnection

from ashpath.server.http.errors import (
    BodyTooLongError,
    ConnectionClosedError,
    HeadTooLongError,
    ParserError,
    ProtocolError,
    ResponseTooLongError,
    StatusLineError,
    StatusLineTooLongError,
    TooManyHeadersError,
    TooManyInterimResponsesError,
    TruncatedMessageError,
    UnknownLengthError,
    UpgradeError,
)

OK = b"HTTP/1.1 200 OK\r\n"
ERROR = b"HTTP/1.1 500 X\r\n"
POST = b"POST / HTTP/1.1\r\n"


def receiving(data: bytes) -> SocketPairConnection:
    """Returns a connection whose peer has sent these bytes and closed its side."""
    near, far = socket.socketpair()
    far.sendall(data)
    far.shutdown(socket.SHUT_WR)
    return SocketPairConnection(near)


def test_body_of_200_is_pending_after_its_head() -> None:
    connection = receiving(OK + b"Content-Length: 2\r\n\r\nok")
    response = connection.read_response()
    assert response.well_formed
    assert response.keep_alive
    assert not connection.unusable
    assert not response.complete
    assert response.body == b""
    assert connection.body_received()
    assert connection.finish_response() is response
    assert response.body == b"ok"
    with pytest.raises(ConnectionClosedError):
        connection.read_response()


@pytest.mark.parametrize("rest", [b"", b"no colon\r\n\r\n", b"Content-Length: 3000000000\r\n\r\n"])
def test_200_is_returned_despite_invalid_rest(rest: bytes) -> None:
    connection = receiving(OK + rest)
    response = connection.read_response()
    assert response.status == 200
    assert not response.keep_alive
    assert connection.unusable


def test_late_success_returns_only_complete_200_status_line() -> None:
    connection = receiving(OK)
    success = connection.late_success()
    assert success is not None
    assert success.status == 200
    assert connection.unusable
    assert receiving(ERROR).late_success() is None
    assert receiving(OK[:12]).late_success() is None


def test_interim_responses_are_skipped_before_final_one() -> None:
    interim = b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"
    response = receiving(interim + ERROR + b"Content-Length: 0\r\n\r\n").read_response()
    assert response.status == 500
    assert response.headers == {b"content-length": b"0"}


RESPONSE_ERRORS: dict[bytes, type[Exception]] = {
    b"": ConnectionClosedError,
    b"HTTP/1.1 5": TruncatedMessageError,
    b"nonsense\r\n": StatusLineError,
    b"x" * 20_000: StatusLineTooLongError,
    ERROR: TruncatedMessageError,
    ERROR + b"X: " + b"y" * 20_000: HeadTooLongError,
    ERROR + b"Content-Length: 3\r\n\r\nno": TruncatedMessageError,
    ERROR + b"Content-Length: 3000000000\r\n\r\n": ResponseTooLongError,
    ERROR + b"\r\n" + b"x" * 70_000: BodyTooLongError,
    ERROR + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nno": ProtocolError,
    b"HTTP/1.1 103 X\r\n\r\n" * 50: TooManyInterimResponsesError,
}


@pytest.mark.parametrize("data", RESPONSE_ERRORS, ids=lambda data: str(data[:40]))
def test_invalid_response_raises_and_makes_connection_unusable(data: bytes) -> None:
    connection = receiving(data)
    with pytest.raises(RESPONSE_ERRORS[data]):
        connection.read_response()
    assert connection.unusable


REQUEST_ERRORS: dict[bytes, tuple[type[ProtocolError], int]] = {
    POST + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n": (ProtocolError, 400),
    POST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc": (ProtocolError, 400),
    POST + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": (ParserError, 400),
    POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n": (UnknownLengthError, 400),
    POST + b"Content-Length: 62914560\r\n\r\n": (BodyTooLongError, 413),
    POST + b"X: " + b"y" * 20_000: (HeadTooLongError, 431),
    POST + b"a:\r\n" * 101 + b"\r\n": (TooManyHeadersError, 431),
    POST + b"b:\r\n" * 102: (TooManyHeadersError, 431),  # before the head is complete
    b"CONNECT a:1 HTTP/1.1\r\n\r\n": (UpgradeError, 400),
}


@pytest.mark.parametrize("data", REQUEST_ERRORS, ids=lambda data: str(data[:60]))
def test_invalid_request_raises_error_with_status(data: bytes) -> None:
    error, status = REQUEST_ERRORS[data]
    with pytest.raises(error) as raised:
        receiving(data).read_request()
    assert raised.value.status == status


def test_request_with_as_many_headers_as_allowed_is_read() -> None:
    data = POST + b"a:\r\n" * 99 + b"X-Trace-Id: t\r\n\r\n"
    assert receiving(data).read_request().headers == {b"x-trace-id": b"t"}


def test_headers_that_nobody_reads_are_not_kept() -> None:
    """Guards against thousands of short headers that take many times the memory of their head."""
    fields = b"".join(b"%x:\r\n" % number for number in range(2500))
    response = receiving(ERROR + fields + b"Retry-After: 1\r\nContent-Length: 0\r\n\r\n").read_response()
    assert response.headers == {b"retry-after": b"1", b"content-length": b"0"}
    assert response.header_count == 2502
