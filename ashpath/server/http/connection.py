"""HTTP/1.1 on one connection, as server or client: httptools parses, and this module frames the messages.

No byte beyond a message is consumed, and one message is read at a time. As a server:

| state | event | next |
| --- | --- | --- |
| ready | `read_request` returns: one complete request consumed | ready; the caller writes the response |
| ready | ProtocolError, a failure of the socket, or the end of the connection | the caller closes it |

As a client, `unusable` and `status_line_read` give the state:

| state | event | next |
| --- | --- | --- |
| ready | request written, `read_response` called | awaiting: unusable, status line not read |
| awaiting | a status line, not consumed | reading: unusable, status line read |
| reading | a status below 200, with its head | awaiting |
| reading | any other status, valid to its end, whose position is known | ready |
| reading | 200 and a valid head, end of the body known | body pending: `finish_response` is to be called |
| reading | 200, and then an invalid head, the end of the connection or a time-out | permanently unusable |
| reading | any response that ends with its connection | permanently unusable |
| reading | any other status, and a fault in the rest | permanently unusable; raises |
| body pending | `finish_response` returns | ready |
| any | the caller gives up | `late_success` looks for a received 200; permanently unusable |

The caller closes a permanently unusable connection. The body of a 200 is read apart from its head, since the
status line alone confirms the delivery, whatever follows.
"""

from __future__ import annotations

import re
from contextlib import suppress

import gevent
import httptools
from gevent import Timeout, socket
from msgspec import Struct

from ashpath.server import wire_names
from ashpath.server.http.errors import (
    BodyEndError,
    BodyTooLongError,
    ConnectionClosedError,
    HeadError,
    HeadTooLongError,
    IncompleteResponseError,
    ParserError,
    ProtocolError,
    ResponseTooLongError,
    StatusLineError,
    StatusLineTooLongError,
    TooManyHeadersError,
    TooManyInterimResponsesError,
    TruncatedBodyError,
    TruncatedHeadError,
    TruncatedStatusLineError,
    UnknownLengthError,
    UpgradeError,
)
from ashpath.server.http.framing import BodyFraming, ChunkedFraming, body_framing, known_end
from ashpath.server.http.messages import OK, HttpMessage, HttpRequest, HttpResponse, Parser
from ashpath.server.http.receive_buffer import ReceiveBuffer
from ashpath.server.http.transport import BufferedSocket, bound_receive_buffer
from ashpath.server.limits.http import HttpLimits

END_OF_HEAD = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])( [^\r\n]*)?\r?\n")
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class PendingBody(Struct):
    """The body of a response whose head has been read."""

    response: HttpResponse
    parser: httptools.HttpResponseParser
    framing: BodyFraming


def open_connection(address: tuple[str, int], limits: HttpLimits) -> HttpConnection:
    """Returns a new connection. Raises OSError on a failure or time-out, and leaves no socket open."""
    return dial(socket.socket(socket.AF_INET, socket.SOCK_STREAM), address, limits)


def dial(sock: socket.socket, address: tuple[str, int], limits: HttpLimits) -> HttpConnection:
    """Connects the caller's socket like `open_connection`; the caller may close it to abort the connect."""
    connect_socket(sock, address, limits)
    return HttpConnection(sock, limits)


def connect_socket(sock: socket.socket, address: tuple[str, int], limits: HttpLimits) -> None:
    """Connects a socket. Raises OSError on a failure or time-out, and closes the socket then."""
    try:
        bound_receive_buffer(sock)
        sock.settimeout(limits.connect_s)
        sock.connect(address)
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise


class HttpConnection(BufferedSocket):
    """An HTTP connection, and the state of the message that is being read from it."""

    pending_body: PendingBody

    def __init__(self, sock: socket.socket, limits: HttpLimits) -> None:
        super().__init__(sock, ReceiveBuffer(limits.buffer_bytes, limits.body_bytes))
        self.limits = limits
        self.status_line_read = False  # of the response that is being read

    def read_request(self) -> HttpRequest:
        """Returns the next request with its body. Raises ProtocolError, ConnectionClosedError, OSError."""
        request = HttpRequest()
        parser = httptools.HttpRequestParser(request)
        self._read_head(request, parser, "request")
        request.method = parser.get_method()
        request.keep_alive = request.wants_keep_alive(parser)
        framing = body_framing(request, self.limits.body_bytes)
        if framing is None:
            self.unusable = True  # the end of the body is unknown, so no further message can be read
            raise UnknownLengthError
        if isinstance(framing, int) and framing > self.limits.body_bytes:
            raise BodyTooLongError
        if isinstance(framing, int):
            self.expect_body(framing)
        if request.headers.get(wire_names.EXPECT_HEADER, b"").lower() == b"100-continue":
            self.write(CONTINUE_RESPONSE)
        self._read_body(request, parser, framing)
        return request

    def expect_body(self, size: int) -> None:
        """Called with the declared length of a request's body, before any byte of it is read."""

    def read_response(self) -> HttpResponse:
        """Returns the final response: a 200 without its body, any other status with its body.

        The status line of a 200 alone decides the call's outcome. Any other response counts only if it is
        valid to its end. Raises ProtocolError, ConnectionClosedError, OSError. Once the status line of a 200
        is read, no exception is raised, and a time-out or cancellation is suppressed too.
        """
        for _ in range(self.limits.interim_responses):
            response = self._read_one_response()
            if not response.is_interim:
                return response
        raise TooManyInterimResponsesError

    def _read_one_response(self) -> HttpResponse:
        response = HttpResponse()
        self.unusable = True  # until it is known where the response ends
        self.status_line_read = False
        parser = httptools.HttpResponseParser(response)
        response.status = self._read_status()
        self.status_line_read = True
        try:
            # Limits how long a peer that stalls within its response, or never ends it, occupies the call.
            with Timeout(self.limits.response_rest_s, IncompleteResponseError()):
                self._read_head(response, parser, "response")
                if response.is_interim:
                    return response
                self.head_received(response)
                framing = 0 if response.complete else body_framing(response, self.limits.body_bytes)
                self.pending_body = PendingBody(response, parser, framing)
                if response.status != OK:
                    self.finish_response()
        except (Exception, Timeout):  # a received 200 counts even if the call is cancelled or timed out
            if response.status != OK:
                raise
            return response
        response.well_formed = True
        response.keep_alive = self._is_bounded(framing) and response.wants_keep_alive(parser)
        self.unusable = not response.keep_alive
        return response

    def head_received(self, response: HttpResponse) -> None:
        """Called with each final response once its head has been read, before its body."""

    def late_success(self) -> HttpResponse | None:
        """Returns a 200 whose status line has arrived by now, else None; the caller gives up on the response.

        Does not wait, and does not search the body of another response."""
        response = HttpResponse()
        self.unusable = True
        with suppress(OSError, ConnectionClosedError, ProtocolError):
            self.sock.settimeout(0)
            response.status = 0 if self.status_line_read else self._read_status()
        return response if response.status == OK else None

    def body_received(self) -> bool:
        """Returns whether `finish_response` would return without waiting."""
        pending = self.pending_body
        with suppress(ProtocolError):  # `finish_response` raises it
            end = known_end(pending.framing, self.buffer)
            return pending.response.complete or (end is not None and len(self.buffer) >= end)
        return False

    def finish_response(self) -> HttpResponse:
        """Reads the body of the 200 that `read_response` returned. Raises ProtocolError, OSError."""
        pending = self.pending_body
        if isinstance(pending.framing, int) and pending.framing > self.limits.body_bytes:
            raise ResponseTooLongError
        self._read_body(pending.response, pending.parser, pending.framing)
        return pending.response

    def _is_bounded(self, framing: BodyFraming) -> bool:
        """Whether the end of the response is known and within limits, so that another response may follow."""
        return framing <= self.limits.body_bytes if isinstance(framing, int) else framing is not None

    def _read_status(self) -> int:
        """Returns the status code of a valid status line, and consumes nothing.

        Raises ProtocolError, ConnectionClosedError, OSError."""
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            searched = len(self.buffer)
            if searched > self.limits.head_bytes:
                raise StatusLineTooLongError
            if not self.receive():
                if searched:
                    raise TruncatedStatusLineError
                raise ConnectionClosedError
        match = STATUS_LINE.fullmatch(self.buffer.peek(0, end + 1))
        if match is None:
            raise StatusLineError
        return int(match[1])

    def _read_head(self, message: HttpMessage, parser: Parser, kind: str) -> None:
        fed = 0
        while not message.head_complete:
            available = len(self.buffer)
            if available > fed:
                end = self.buffer.find(END_OF_HEAD, fed - len(END_OF_HEAD) + 1)
                stop = available if end < 0 else end + len(END_OF_HEAD)
                feed(parser, self.buffer.peek(fed, stop))
                fed = stop
                if isinstance(message, HttpRequest) and message.header_count > self.limits.request_headers:
                    raise TooManyHeadersError
                if end >= 0:
                    break
                if fed > self.limits.head_bytes:
                    raise HeadTooLongError(kind)
            if not self.receive():
                if fed:
                    raise TruncatedHeadError(kind)
                raise ConnectionClosedError
        if not message.head_complete or fed > self.limits.head_bytes:
            raise HeadError(kind)
        self.buffer.consume(fed)

    def _read_body(self, message: HttpMessage, parser: Parser, framing: BodyFraming) -> None:
        """Feeds a body with a known end to the parser in one piece; one that ends with the connection, as
        received. Raises ProtocolError, OSError."""
        size = 0
        while not message.complete:
            available = len(self.buffer)
            end = available if framing is None else known_end(framing, self.buffer)
            if available and end is not None and available >= end:
                feed(parser, self.buffer.consume(end))
                size += end
                if framing is not None and not message.complete:
                    raise BodyEndError
                if size > 2 * self.limits.body_bytes or len(message.body) > self.limits.body_bytes:
                    raise BodyTooLongError
            elif isinstance(framing, ChunkedFraming) and framing.has_more:
                gevent.sleep(0)  # other greenlets run even while a body of many chunks is examined
            elif not self.receive():
                if framing is not None or wire_names.TRANSFER_ENCODING_HEADER in message.headers:
                    raise TruncatedBodyError
                message.complete = True  # a response without a length ends with its connection


def feed(parser: Parser, data: bytes) -> None:
    """Feeds the parser the next bytes of a message. Raises ProtocolError."""
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise UpgradeError from error
    except httptools.HttpParserError as error:
        raise ParserError(str(error)) from error
