"""The endpoints that the file lists under its destinations."""

from __future__ import annotations

from ashpath.config.schema import Destination, Endpoint


def endpoints_of(destination: Destination) -> list[Endpoint]:
    """Its endpoints, each as a table."""
    return [one if isinstance(one, Endpoint) else Endpoint(one) for one in destination.endpoints]


def endpoint_id(number: int, endpoint: Endpoint) -> str:
    """An endpoint's id: an address that another destination lists too is another endpoint."""
    return endpoint.id or f"{number}@{endpoint.address}"
