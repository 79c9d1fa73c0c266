"""Records endpoints that left, so that an older list does not restore them.

A restarted agent, or another agent after a change of address, may have an older list than the one read
before, and may number its revisions from a new start. Such a list is applied except for one part: an endpoint
whose drain or removal was read stays draining until newer information lists it as up.

| a departed endpoint is listed as up | treated as |
| --- | --- |
| in a later revision than that of its departure | up |
| with a later start time than at its departure | up: the endpoint was restarted |
| by another agent that has listed the departure as well, in a later revision of that agent | up |
| `DEPARTURE_RETENTION_S` or longer after its departure | up: no agent is out of date for so long |
| otherwise | still draining, and counted as stale |
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from ashpath.core.interface import EndpointStatus
from ashpath.server import wire_names
from ashpath.server.discovery.snapshot import EndpointListResponse, EndpointRow

DEPARTURE_RETENTION_S = 600.0
MAX_DEPARTURES = 8192  # the oldest are removed beyond this number

UP_PHASE = next(
    name for name, status in wire_names.ENDPOINT_STATUSES.items() if status is EndpointStatus.ACTIVE
)
DRAINING_PHASE = next(
    name for name, status in wire_names.ENDPOINT_STATUSES.items() if status is EndpointStatus.DRAINING
)


class Departure(Struct, frozen=True):
    """The drain, removal or absence with which an endpoint left."""

    revision: int
    up_since_ms: float
    """The latest listed start time of the endpoint; 0 if none was listed."""
    departed_at: float
    """Seconds of the monotonic clock."""
    agent_number: int
    """The agent that listed the departure: the number of changes of address before it."""


class FilteredList(Struct, frozen=True):
    """An endpoint list after the removal of stale information."""

    rows: list[EndpointRow]
    departed: list[str]
    """Ids of endpoints that leave with this list."""
    stale: list[str]
    """Ids of endpoints that the list has as up, and that stay draining."""


class Departures:
    """Departures of endpoints, bounded by `MAX_DEPARTURES` and `DEPARTURE_RETENTION_S`."""

    def __init__(self) -> None:
        self.departures: dict[str, Departure] = {}  # by endpoint id, oldest first
        self.listed: dict[str, float] = {}  # listed start time of each endpoint that is up
        self.agent_number = 0

    def agent_address_changed(self) -> None:
        """Later lists come from another agent, whose revisions may start anew."""
        self.agent_number += 1

    def filter(self, response: EndpointListResponse, now: float) -> FilteredList:
        """Returns the rows in the order of the list, with stale endpoints marked as draining.

        `now`: seconds of the monotonic clock."""
        self._remove_expired(now)
        rows: list[EndpointRow] = []
        departed: list[str] = []
        stale: list[str] = []
        absent = set(self.listed) if response.complete else set()
        for row in response.rows:
            endpoint_id = _text(row, "id")
            if endpoint_id is None:
                rows.append(row)
                continue
            absent.discard(endpoint_id)
            if row.get("phase") != UP_PHASE:
                if endpoint_id in self.listed:
                    departed.append(endpoint_id)
                self._record_departure(endpoint_id, response.revision, _number(row, "up_since_ms"), now)
            elif self._is_stale(endpoint_id, row, response.revision):
                stale.append(endpoint_id)
                row = {**row, "phase": DRAINING_PHASE}
            else:
                self.departures.pop(endpoint_id, None)
                self.listed[endpoint_id] = _number(row, "up_since_ms")
            rows.append(row)
        for endpoint_id in absent:
            departed.append(endpoint_id)
            self._record_departure(endpoint_id, response.revision, 0.0, now)
        return FilteredList(rows, departed, stale)

    def _record_departure(self, endpoint_id: str, revision: int, up_since_ms: float, now: float) -> None:
        known = self.departures.pop(endpoint_id, None)
        up_since_ms = max(up_since_ms, self.listed.pop(endpoint_id, 0.0))
        if known is not None:
            up_since_ms = max(up_since_ms, known.up_since_ms)
            if known.agent_number == self.agent_number:
                revision = max(revision, known.revision)
        self.departures[endpoint_id] = Departure(revision, up_since_ms, now, self.agent_number)

    def _is_stale(self, endpoint_id: str, row: EndpointRow, revision: int) -> bool:
        departure = self.departures.get(endpoint_id)
        if departure is None:
            return False
        return revision <= departure.revision and _number(row, "up_since_ms") <= departure.up_since_ms

    def _remove_expired(self, now: float) -> None:
        while self.departures:
            oldest = next(iter(self.departures))
            recent = now - self.departures[oldest].departed_at < DEPARTURE_RETENTION_S
            if recent and len(self.departures) <= MAX_DEPARTURES:
                return
            del self.departures[oldest]


def _text(row: Any, name: str) -> str | None:  # noqa: ANN401 - JSON not yet checked
    value = row.get(name) if isinstance(row, dict) else None
    return value if isinstance(value, str) else None


def _number(row: EndpointRow, name: str) -> float:
    value = row.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
