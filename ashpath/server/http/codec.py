"""HTTP/1.1 on one connection: httptools parses, this frames, so that not a byte beyond a message is taken."""

from __future__ import annotations

import re
from contextlib import suppress
from typing import Any

import gevent
import httptools
from gevent import Timeout, socket

from ashpath.server.http.receive_buffer import Buffer
from ashpath.server.limits import ServerLimits

END_OF_HEAD = b"\r\n\r\n"
STATUS = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])( [^\r\n]*)?\r?\n")
LENGTHS = {b"content-length", b"transfer-encoding"}
CHUNK = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(;[^\x00-\x08\x0a-\x1f]*)?")
CHUNK_LINE = 1024  # bytes of a chunk's size with what is said beside it, or of a line behind the last one


class ProtocolError(Exception):
    """What came in is not HTTP as this side takes it; the status says what to answer."""

    def __init__(self, status: int, words: str) -> None:
        super().__init__(words)
        self.status = status


class ConnectionClosedError(Exception):
    """The far end closed before a first byte."""


class HttpMessage:
    """One request or answer, filled in by the parser."""

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.doubled: set[bytes] = set()  # names that came more than once
        self.pieces: list[bytes] = []
        self.head_done = self.done = False
        self.method, self.status, self.keep = b"", 0, False
        self.sound = False  # an answer: all that was read of it is as it should be

    # What follows the message in the same bytes, and headers behind a body, must not pass for its own.

    def on_url(self, url: bytes) -> None:
        if not self.done:
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.head_done:
            name = name.lower()
            if name in self.headers:
                self.doubled.add(name)
            self.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        self.head_done = True

    def on_body(self, piece: bytes) -> None:
        if not self.done:
            self.pieces.append(piece)

    def on_message_complete(self) -> None:
        self.done = True

    @property
    def path(self) -> bytes:
        return self.url.split(b"?", 1)[0]

    @property
    def body(self) -> bytes:
        return b"".join(self.pieces)


class Chunked:
    """Finds where a body in chunks ends, as it comes; nothing is taken, so not a byte beyond it is either.

    >>> buffer, body = Buffer(64, 64), Chunked(64)
    >>> def came(data):
    ...     buffer.space(len(data))[:len(data)] = data
    ...     buffer.added(len(data))
    ...     return body.end(buffer)
    >>> came(b"3;x=1\\r\\nab"), came(b"c\\r"), came(b"\\n0\\r\\nt: 1\\r\\n"), came(b"\\r\\nHTTP")
    (None, None, None, 23)
    """

    def __init__(self, most: int) -> None:
        self.most, self.at, self.last = most, 0, False

    def end(self, buffer: Buffer) -> int | None:
        """The bytes up to its end; none while that is not here. Raises Malformed."""
        while (end := buffer.find(b"\r\n", self.at)) >= 0:
            line, after = buffer.peek(self.at, end), end + 2
            if self.last and not line:
                return after
            if not self.last:
                found = CHUNK.fullmatch(line)
                if found is None:
                    raise ProtocolError(400, "a chunk without a proper size")
                size = int(found[1], 16)
                if self.at + size > 2 * self.most:
                    raise ProtocolError(413, "body too long")
                if size and len(buffer) < after + size + 2:
                    return None
                if size and buffer.peek(after + size, after + size + 2) != b"\r\n":
                    raise ProtocolError(400, "a chunk longer than its size")
                after, self.last = after + size + 2 * (size > 0), not size
            if len(line) > CHUNK_LINE or after > 2 * self.most:
                raise ProtocolError(413, "chunks with too much beside them")
            self.at = after
        if len(buffer) - self.at > CHUNK_LINE:
            raise ProtocolError(400, "a line of chunks without end")
        return None


Frame = int | Chunked | None  # a length, chunks, or all up to the end of the connection


def stays(message: HttpMessage, parser: Any) -> bool:
    """Whether the connection goes on. The parser's own word on it is another once a message is complete."""
    told = message.headers.get(b"connection", b"").lower().replace(b" ", b"").split(b",")
    return b"close" not in told and (parser.get_http_version() == "1.1" or b"keep-alive" in told)


def dial(address: tuple[str, int], limits: ServerLimits) -> HttpConnection:
    """A new connection; a failure or a time-out on the way leaves nothing open."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(limits.connect_s)
        sock.connect(address)
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return HttpConnection(sock, limits)


class HttpConnection:
    """A connected socket, its buffer, and the message that is being read."""

    def __init__(self, sock: socket.socket, limits: ServerLimits) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.limits, self.buffer = sock, limits, Buffer(limits.buffer_bytes, limits.body_bytes)
        self.unusable = False  # cannot carry a further message
        self.answered = False  # the first line of the answer that is read has been
        self.client_left = False  # the far end has closed its side
        self.draining = False  # what came after this side's end has been read, or is being read
        self.idle_s = 0.0  # seconds that it was idle before its present call; 0 if it is new

    def close(self) -> None:
        self.unusable = True
        self.sock.close()

    def write(self, data: bytes) -> None:
        self.sock.sendall(data)

    def receive(self) -> bool:
        """Waits for bytes; False once the far end has closed."""
        space = self.buffer.space()
        room = len(space)
        try:
            count = self.sock.recv_into(space)
        finally:
            space.release()
        self.buffer.added(count)
        self.client_left = not count
        if count == room:
            gevent.sleep(0)  # guards the rest against a far end that sends without end
        return count > 0

    def half_close(self) -> None:
        """Nothing is written any more, and what still comes is for nobody: see `drain`."""
        self.unusable = True
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def drain(self, most: int) -> None:
        """Reads on and drops it, up to the end of the far side or so many bytes: closing on unread bytes
        resets a connection, and takes back what was written last."""
        read = 0
        while read < most and not self.client_left and self.receive():
            read += len(self.buffer)
            self.buffer.take(len(self.buffer))

    def is_quiet(self) -> bool:
        """Nothing unread, nothing closed: fit to carry a call. Does not wait."""
        return not self.unusable and not len(self.buffer) and self.has_unread_bytes() is None

    def ended(self) -> bool:
        """The far end has closed its side, as far as is known without waiting."""
        return self.has_unread_bytes() == b""

    def has_unread_bytes(self) -> bytes | None:
        """A first byte that waits to be read; none: an end or a failure."""
        self.sock.settimeout(0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        finally:
            self.sock.settimeout(None)

    def read_request(self) -> HttpMessage:
        message = HttpMessage()
        parser = httptools.HttpRequestParser(message)
        self.read_head(message, parser, "request")
        message.method, message.keep = parser.get_method(), stays(message, parser)
        length = self.length(message)
        if length is None:
            raise ProtocolError(400, "an end that is not known")
        if isinstance(length, int) and length > self.limits.body_bytes:
            raise ProtocolError(413, "body too long")
        if message.headers.get(b"expect", b"").lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.read_body(message, parser, length)
        return message

    def read_answer(self) -> HttpMessage:
        """Of a 200 the head, as its first line tells how a call ended, whatever follows; of others the whole,
        as only one that is sound from end to end proves anything. One that is not raises Malformed."""
        for _ in range(self.limits.interim_responses):
            message, self.unusable = HttpMessage(), True  # until it is known where the answer ends
            self.answered, parser = False, httptools.HttpResponseParser(message)
            message.status = self.read_status()
            self.answered = True
            try:
                # Guards the shot's slot against a far end that holds back, or never ends, what it has begun.
                with Timeout(self.limits.response_rest_s, ProtocolError(408, "an answer without an end")):
                    self.read_head(message, parser, "answer")
                    if 100 <= message.status < 200:  # an interim answer: the one that counts follows
                        continue
                    self.rest = (message, parser, 0 if message.done else self.length(message))
                    if message.status != 200:
                        self.finish_answer()
            except (Exception, Timeout):  # called off or out of time, too: a 200 that is here counts
                if message.status != 200:
                    raise
                return message
            message.sound, message.keep = True, self.ends(message, parser)
            self.unusable = not message.keep
            return message
        raise ProtocolError(400, "interim answers without end")

    def late_success(self) -> HttpMessage | None:
        """Of an answer that is given up on: a 200, if its first line is here by now. Does not wait, and does
        not look for one in the body of another answer."""
        message, self.unusable = HttpMessage(), True
        with suppress(OSError, ConnectionClosedError, ProtocolError):
            self.sock.settimeout(0)
            message.status = 0 if self.answered else self.read_status()
        return message if message.status == 200 else None

    def read_status(self) -> int:
        """Of a first line that reads as one of HTTP; nothing is taken."""
        fed = 0
        while (end := self.buffer.find(b"\n", fed)) < 0:
            fed = len(self.buffer)
            if fed > self.limits.head_bytes:
                raise ProtocolError(431, "a first line without end")
            if not self.receive():
                raise ConnectionResetError("ended within the first line") if fed else ConnectionClosedError
        found = STATUS.fullmatch(self.buffer.peek(0, end + 1))
        if found is None:
            raise ProtocolError(400, "no status line")
        return int(found[1])

    def ends(self, message: HttpMessage, parser: Any) -> bool:
        """Whether the far end said where the answer ends, within bounds, so that another may follow."""
        length = self.rest[2]
        bounded = length <= self.limits.body_bytes if isinstance(length, int) else length is not None
        return bounded and stays(message, parser)

    def body_received(self) -> bool:
        message, _, length = self.rest
        with suppress(ProtocolError):  # said where it is read
            end = self.known_end(length)
            return message.done or (end is not None and len(self.buffer) >= end)
        return False

    def known_end(self, length: Frame) -> int | None:
        """The bytes that a body has, as far as that is known by now."""
        return length.end(self.buffer) if isinstance(length, Chunked) else length

    def finish_answer(self) -> HttpMessage:
        message, parser, length = self.rest
        if isinstance(length, int) and length > self.limits.body_bytes:
            raise ProtocolError(413, "an answer too long")
        self.read_body(message, parser, length)
        return message

    def read_head(self, message: HttpMessage, parser: Any, what: str) -> None:
        fed = 0
        while not message.head_done:
            have = len(self.buffer)
            if have > fed:
                end = self.buffer.find(END_OF_HEAD, fed - len(END_OF_HEAD) + 1)
                stop = have if end < 0 else end + len(END_OF_HEAD)
                self.feed(parser, self.buffer.peek(fed, stop))
                fed = stop
                if end >= 0:
                    break
                if fed > self.limits.head_bytes:
                    raise ProtocolError(431, f"{what} with a head too long")
            if not self.receive():
                if fed:
                    raise ConnectionResetError(f"ended within the head of the {what}")
                raise ConnectionClosedError
        if not message.head_done or fed > self.limits.head_bytes:
            raise ProtocolError(400, f"{what} without a proper head")
        self.buffer.take(fed)

    def read_body(self, message: HttpMessage, parser: Any, length: Frame) -> None:
        """A body whose end is known is fed in one piece, one up to the end of the connection as it comes."""
        size = 0
        while not message.done:
            have = len(self.buffer)
            end = have if length is None else self.known_end(length)
            if have and end is not None and have >= end:
                self.feed(parser, self.buffer.take(end))
                size += end
                if length is not None and not message.done:
                    raise ProtocolError(400, "a body that does not end where it should")
                if size > 2 * self.limits.body_bytes or len(message.body) > self.limits.body_bytes:
                    raise ProtocolError(413, "body too long")
            elif not self.receive():
                if length is not None or b"transfer-encoding" in message.headers:
                    raise ConnectionResetError("ended within a body")
                message.done = True  # an answer that told no length ends with its connection

    def feed(self, parser: Any, data: bytes) -> None:
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise ProtocolError(400, "no upgrades here") from None
        except httptools.HttpParserError as error:
            raise ProtocolError(400, str(error)) from None

    def length(self, message: HttpMessage) -> Frame:
        if message.doubled & LENGTHS or message.headers.keys() >= LENGTHS:
            raise ProtocolError(400, "two lengths: who believes the other finds another message in the body")
        coding = message.headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.lower() == b"chunked":
                return Chunked(self.limits.body_bytes)
            self.unusable = True  # where it ends is not known, so nothing may follow
            return None
        text = message.headers.get(b"content-length")
        if text is None:
            return 0 if message.method or message.done else None
        if not text.isdigit() or len(text) > 15:
            raise ProtocolError(400, "a length that is no number")
        return int(text)


def host_header(address: tuple[str, int]) -> tuple[bytes, bytes]:
    """The header that names the far end.

    >>> host_header(("10.1.0.18", 7070))
    (b'host', b'10.1.0.18:7070')
    """
    return b"host", b"%s:%d" % (address[0].encode(), address[1])


def encode_message(first: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A whole message.

    >>> encode_message(b"POST /hook HTTP/1.1", [(b"host", b"x")], b"ab")
    b'POST /hook HTTP/1.1\\r\\nhost: x\\r\\ncontent-length: 2\\r\\n\\r\\nab'
    """
    lines = [first, *(name + b": " + value for name, value in headers), b"content-length: %d" % len(body)]
    return b"\r\n".join(lines) + END_OF_HEAD + body
