"""Limits of HTTP connections and their messages, the same for clients, endpoints and the platform's agent."""

from __future__ import annotations

from msgspec import Struct


class HttpLimits(Struct, frozen=True):
    """Sizes of HTTP messages, and timeouts of single steps of a connection."""

    connect_s: float
    """Timeout for establishing a connection."""
    head_bytes: int = 16 << 10
    """The largest size of the first line and the headers together."""
    request_headers: int = 100
    """The largest number of headers of a request. A response may have more, as a Retry-After among them has
    to be heeded."""
    body_bytes: int = 64 << 10
    """The largest size of a body. A request with a larger body is rejected; a response with a larger one ends
    its connection."""
    interim_responses: int = 20
    """The largest number of 1xx responses before the final response."""
    response_rest_s: float = 0.5
    """Timeout from a response's first line to its end, where the rest of the response is needed."""
    buffer_bytes: int = 4 << 10
    """The initial size of a connection's receive buffer, to which it returns when it is empty."""
    response_write_s: float = 2.0
    """Timeout for a peer to receive a response, and for the rest of a response whose outcome is known."""
