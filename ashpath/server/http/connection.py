"""HTTP/1.1 on one connection, of either side: httptools parses, this frames.

Not a byte beyond a message is consumed, and one message is read at a time. As a server:

| state | event | next |
| --- | --- | --- |
| ready | `read_request` returns: one whole request consumed | ready; the caller writes the response |
| ready | ProtocolError, a failure of the socket, or the end | to be closed by the caller |

As a client, `unusable` and `status_line_read` say where it stands:

| state | event | next |
| --- | --- | --- |
| ready | request written, `read_response` called | awaiting: unusable, status line not read |
| awaiting | a status line, not consumed | reading: unusable, status line read |
| reading | a status below 200, with its head | awaiting |
| reading | any other status, sound to its end, which is known | ready |
| reading | 200 and a sound head, end known | body pending: `finish_response` is due |
| reading | 200, and then a head that cannot be read, the end or a time-out | unusable for good |
| reading | any response that ends with its connection | unusable for good |
| reading | any other status, and a fault in the rest | unusable for good; raises |
| body pending | `finish_response` returns | ready |
| any | given up | `late_success` asks for a 200 that is here; unusable for good |

`unusable` for good means that the caller closes it. The body of a 200 is read apart from its head, since its
first line alone says that the call was delivered, whatever follows.
"""

from __future__ import annotations

import re
from contextlib import suppress

import httptools
from gevent import Timeout, socket
from msgspec import Struct

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
    TooManyInterimResponsesError,
    TruncatedBodyError,
    TruncatedHeadError,
    TruncatedStatusLineError,
    UnknownLengthError,
    UpgradeError,
)
from ashpath.server.http.framing import BodyFraming, body_framing, known_end
from ashpath.server.http.messages import OK, HttpMessage, HttpRequest, HttpResponse, Parser
from ashpath.server.http.receive_buffer import ReceiveBuffer
from ashpath.server.http.transport import BufferedSocket
from ashpath.server.limits import ServerLimits

END_OF_HEAD = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])( [^\r\n]*)?\r?\n")
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class PendingBody(Struct):
    """The body of a response whose head has been read."""

    response: HttpResponse
    parser: httptools.HttpResponseParser
    framing: BodyFraming


def open_connection(address: tuple[str, int], limits: ServerLimits) -> HttpConnection:
    """A new connection; a failure or a time-out on the way leaves nothing open. Raises OSError."""
    return dial(socket.socket(socket.AF_INET, socket.SOCK_STREAM), address, limits)


def dial(sock: socket.socket, address: tuple[str, int], limits: ServerLimits) -> HttpConnection:
    """The same on a socket of the caller's, who may close it to end a dial that is still on its way."""
    try:
        sock.settimeout(limits.connect_s)
        sock.connect(address)
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return HttpConnection(sock, limits)


class HttpConnection(BufferedSocket):
    """A connection, and the message that is being read from it."""

    pending_body: PendingBody

    def __init__(self, sock: socket.socket, limits: ServerLimits) -> None:
        super().__init__(sock, ReceiveBuffer(limits.buffer_bytes, limits.body_bytes))
        self.limits = limits
        self.status_line_read = False  # of the response that is being read
        self.idle_before_use_s = 0.0  # seconds that it was idle before its present call; 0 if it is new

    def read_request(self) -> HttpRequest:
        """The next request, whole. Raises ProtocolError, ConnectionClosedError, OSError."""
        request = HttpRequest()
        parser = httptools.HttpRequestParser(request)
        self._read_head(request, parser, "request")
        request.method = parser.get_method()
        request.keep_alive = request.wants_keep_alive(parser)
        framing = body_framing(request, self.limits.body_bytes)
        if framing is None:
            self.unusable = True  # where it ends is not known, so nothing may follow
            raise UnknownLengthError
        if isinstance(framing, int) and framing > self.limits.body_bytes:
            raise BodyTooLongError
        if request.headers.get(b"expect", b"").lower() == b"100-continue":
            self.write(CONTINUE_RESPONSE)
        self._read_body(request, parser, framing)
        return request

    def read_response(self) -> HttpResponse:
        """Of a 200 the head, as its first line says how a call ended, whatever follows; of others the whole,
        as only one that is sound from end to end proves anything.

        Raises ProtocolError, ConnectionClosedError, OSError; for a 200 none of them once its first line is
        read, and what else is thrown from then on is dropped for it.
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
            # Guards the call's place against a far end that holds back, or never ends, what it has begun.
            with Timeout(self.limits.response_rest_s, IncompleteResponseError()):
                self._read_head(response, parser, "answer")
                if response.is_interim:
                    return response
                framing = 0 if response.complete else body_framing(response, self.limits.body_bytes)
                self.pending_body = PendingBody(response, parser, framing)
                if response.status != OK:
                    self.finish_response()
        except (Exception, Timeout):  # cancelled or out of time, too: a 200 that is here counts
            if response.status != OK:
                raise
            return response
        response.well_formed = True
        response.keep_alive = self._is_bounded(framing) and response.wants_keep_alive(parser)
        self.unusable = not response.keep_alive
        return response

    def late_success(self) -> HttpResponse | None:
        """Of a response that is given up on: a 200, if its first line is here by now. Does not wait, and does
        not look for one in the body of another response."""
        response = HttpResponse()
        self.unusable = True
        with suppress(OSError, ConnectionClosedError, ProtocolError):
            self.sock.settimeout(0)
            response.status = 0 if self.status_line_read else self._read_status()
        return response if response.status == OK else None

    def body_received(self) -> bool:
        """Whether `finish_response` would return without waiting."""
        pending = self.pending_body
        with suppress(ProtocolError):  # raised where it is read
            end = known_end(pending.framing, self.buffer)
            return pending.response.complete or (end is not None and len(self.buffer) >= end)
        return False

    def finish_response(self) -> HttpResponse:
        """Reads the body that `read_response` left. Raises ProtocolError, OSError."""
        pending = self.pending_body
        if isinstance(pending.framing, int) and pending.framing > self.limits.body_bytes:
            raise ResponseTooLongError
        self._read_body(pending.response, pending.parser, pending.framing)
        return pending.response

    def _is_bounded(self, framing: BodyFraming) -> bool:
        """Whether the far end said where the response ends, within bounds, so that another may follow."""
        return framing <= self.limits.body_bytes if isinstance(framing, int) else framing is not None

    def _read_status(self) -> int:
        """Of a first line that reads as one of HTTP; nothing is consumed."""
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
        """A body whose end is known is fed in one piece, one up to the end of the connection as it comes."""
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
            elif not self.receive():
                if framing is not None or b"transfer-encoding" in message.headers:
                    raise TruncatedBodyError
                message.complete = True  # a response that gave no length ends with its connection


def feed(parser: Parser, data: bytes) -> None:
    """Hands the parser more of a message. Raises ProtocolError."""
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise UpgradeError from error
    except httptools.HttpParserError as error:
        raise ParserError(str(error)) from error
