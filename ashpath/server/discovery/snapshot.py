"""Parses the body of a service discovery response into a snapshot or an update of the endpoint list.

The module does no I/O.
"""

from __future__ import annotations

from typing import Any, Protocol

import orjson
from msgspec import Struct

from ashpath.server.discovery.errors import EmptyListError, UnreadableListError

EndpointRow = dict[str, Any]  # one endpoint as the agent sent it: unvalidated JSON


class EndpointListResponse(Struct, frozen=True):
    """The agent's response to a poll."""

    rows: list[EndpointRow]
    complete: bool  # a snapshot, which replaces the list; else an update with the changed rows
    revision: int  # of the agent's list; another agent may number from a new start


class MembershipListener(Protocol):
    """Receives each snapshot and update."""

    def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
        """Applies a snapshot (`complete`) or an update; returns whether every row could be read."""
        ...


def parse_response(body: bytes) -> EndpointListResponse:
    """Parses a body. Raises UnreadableListError, and EmptyListError for a snapshot without endpoints."""
    try:
        decoded = orjson.loads(body)
        response = EndpointListResponse(decoded["members"], decoded["complete"], int(decoded["revision"]))
    except (ValueError, KeyError, TypeError, OverflowError) as error:
        raise UnreadableListError(repr(error)) from error
    if not isinstance(response.rows, list) or not isinstance(response.complete, bool):
        reason = "`members` is not an array, or `complete` is not a boolean"
        raise UnreadableListError(reason)
    if response.complete and not response.rows:
        raise EmptyListError
    return response
