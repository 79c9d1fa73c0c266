"""HTTP requests and responses; httptools' parser fills them in through the `on_` methods."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from ashpath.server.wire_names import CONNECTION_HEADER, READ_HEADERS

# Bound once: the access to an enumeration's member costs more than the comparisons that use it.
CONTINUE = HTTPStatus.CONTINUE.value
OK = HTTPStatus.OK.value

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


class HttpMessage:
    """Common base of requests and responses.

    Bytes after the message, and headers after its body, must not be attributed to it: no data is taken from
    the parser once the message is complete, and no header once the head is complete.
    """

    def __init__(self) -> None:
        self.headers: dict[
            bytes, bytes
        ] = {}  # of `READ_HEADERS`, by name; the last value of a repeated header
        self.header_count = 0  # all headers, with those that are not kept
        self.repeated_headers: dict[bytes, list[bytes]] = {}  # earlier values of those that occur repeatedly
        self.body_parts: list[bytes] = []
        self.head_complete = False
        self.complete = False
        self.keep_alive = False  # the peer allows another message on the connection

    def on_header(self, name: bytes, value: bytes) -> None:
        """Counts one header, and stores it if it is among `READ_HEADERS`."""
        if self.head_complete:
            return
        self.header_count += 1
        name = name.lower()
        if name in READ_HEADERS:
            if name in self.headers:
                self.repeated_headers.setdefault(name, []).append(self.headers[name])
            self.headers[name] = value.strip()

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, whose name is in lower case, in their order."""
        last = [self.headers[name]] if name in self.headers else []
        return self.repeated_headers.get(name, []) + last

    def on_headers_complete(self) -> None:
        """Marks the head as complete."""
        self.head_complete = True

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body, without chunk framing."""
        if not self.complete:
            self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Marks the message as complete."""
        self.complete = True

    @property
    def body(self) -> bytes:
        """The part of the body that has been read."""
        return b"".join(self.body_parts)

    def wants_keep_alive(self, parser: Parser) -> bool:
        """Whether the peer keeps the connection; the parser's own value changes once the message ends."""
        options = self.headers.get(CONNECTION_HEADER, b"").lower().replace(b" ", b"").split(b",")
        return b"close" not in options and (parser.get_http_version() == "1.1" or b"keep-alive" in options)


class HttpRequest(HttpMessage):
    """An HTTP request."""

    def __init__(self) -> None:
        super().__init__()
        self.method = b""
        self.url = b""

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        if not self.complete:
            self.url += url

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.url.split(b"?", 1)[0]


class HttpResponse(HttpMessage):
    """An HTTP response."""

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.well_formed = False  # the parts read so far are valid

    @property
    def is_interim(self) -> bool:
        """Whether the final response is still to follow (RFC 9110, 15.2)."""
        return CONTINUE <= self.status < OK
