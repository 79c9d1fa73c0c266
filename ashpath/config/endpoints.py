"""The endpoints that the file lists under its destinations."""

from __future__ import annotations

from ashpath.config.schema import Destination, Endpoint


def endpoints_as_tables(destination: Destination) -> list[Endpoint]:
    """Its endpoints, each as a table."""
    return [item if isinstance(item, Endpoint) else Endpoint(item) for item in destination.endpoints]


def endpoint_id(number: int, endpoint: Endpoint) -> str:
    """An endpoint's id: an address that another destination lists too is another endpoint."""
    return endpoint.id or f"{number}@{endpoint.address}"
