"""Requests and responses, filled in by httptools' parser, which calls the `on_` methods."""

from __future__ import annotations

from http import HTTPStatus

import httptools

# Bound once: an access to an enumeration's member costs more than all else that is done with it here.
CONTINUE = HTTPStatus.CONTINUE.value
OK = HTTPStatus.OK.value

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


class HttpMessage:
    """What a request and a response have in common.

    What follows the message in the same bytes, and headers behind a body, must not pass for its own: nothing
    is taken from the parser once the message is complete, and no header once its head is.
    """

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}  # by name in lower case; of a repeated one the last
        self.repeated_headers: set[bytes] = set()  # names that came more than once
        self.body_parts: list[bytes] = []
        self.head_complete = False
        self.complete = False
        self.keep_alive = False  # the sender of the message lets its connection carry another

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, as it came."""
        if not self.head_complete:
            name = name.lower()
            if name in self.headers:
                self.repeated_headers.add(name)
            self.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        """The head is over."""
        self.head_complete = True

    def on_body(self, part: bytes) -> None:
        """A part of the body, without the framing of chunks."""
        if not self.complete:
            self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """The message is over."""
        self.complete = True

    @property
    def body(self) -> bytes:
        """What of the body has been read."""
        return b"".join(self.body_parts)

    def wants_keep_alive(self, parser: Parser) -> bool:
        """Whether its sender keeps the connection. The parser's own answer changes once it is complete."""
        options = self.headers.get(b"connection", b"").lower().replace(b" ", b"").split(b",")
        return b"close" not in options and (parser.get_http_version() == "1.1" or b"keep-alive" in options)


class HttpRequest(HttpMessage):
    """A request."""

    def __init__(self) -> None:
        super().__init__()
        self.method = b""
        self.url = b""

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        if not self.complete:
            self.url += url

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.url.split(b"?", 1)[0]


class HttpResponse(HttpMessage):
    """A response."""

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.well_formed = False  # all that was read of it is as it should be

    @property
    def is_interim(self) -> bool:
        """The response that counts follows (RFC 9110, 15.2)."""
        return CONTINUE <= self.status < OK
