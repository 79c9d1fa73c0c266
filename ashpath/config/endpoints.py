"""The endpoints that the file lists under a destination."""

from __future__ import annotations

from ashpath.config.schema import Destination, Endpoint


def endpoints_as_tables(destination: Destination) -> list[Endpoint]:
    """Returns the endpoints of a destination; an address alone becomes a table with defaults."""
    return [item if isinstance(item, Endpoint) else Endpoint(item) for item in destination.endpoints]


def endpoint_id(number: int, endpoint: Endpoint) -> str:
    """Returns the id of an endpoint.

    A default id includes the destination's number, as two destinations that list the same address have two
    distinct endpoints there.
    """
    return endpoint.id or f"{number}@{endpoint.address}"
