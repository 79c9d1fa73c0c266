"""Parses a response of service discovery, free of I/O: a body to a snapshot or an update of the endpoint
list.
"""

from __future__ import annotations

from typing import Any, Protocol

import orjson
from msgspec import Struct

from ashpath.server.discovery.errors import EmptyListError, UnreadableListError

EndpointRow = dict[str, Any]  # one endpoint as the agent sent it: JSON not yet checked


class EndpointListResponse(Struct, frozen=True):
    """What the agent answered to a poll."""

    rows: list[EndpointRow]
    complete: bool  # a snapshot: what it lacks is gone; else an update, with the rows that changed
    revision: int  # of the agent's list; counts anew where another agent takes over


class MembershipListener(Protocol):
    """Receives every snapshot and update."""

    def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
        """Applies a snapshot (`complete`) or an update; whether every row could be read."""
        ...


def parse_response(body: bytes) -> EndpointListResponse:
    """Raises UnreadableListError, and EmptyListError for a snapshot without any endpoint."""
    try:
        decoded = orjson.loads(body)
        response = EndpointListResponse(decoded["members"], decoded["complete"], int(decoded["revision"]))
    except (ValueError, KeyError, TypeError, OverflowError) as error:
        raise UnreadableListError(repr(error)) from error
    if not isinstance(response.rows, list) or not isinstance(response.complete, bool):
        reason = "`members` is no array, or `complete` no boolean"
        raise UnreadableListError(reason)
    if response.complete and not response.rows:
        raise EmptyListError
    return response
