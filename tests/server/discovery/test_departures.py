"""Departures: the changes that an older endpoint list may make, and those that it may not."""

from __future__ import annotations

import pytest

from ashpath.core.json_types import JsonObject
from ashpath.server.discovery import departures as departures_module
from ashpath.server.discovery.departures import DEPARTURE_RETENTION_S, Departures, FilteredList
from ashpath.server.discovery.snapshot import EndpointListResponse

ListSpec = tuple[int, bool, dict[str, str | tuple[str, int]]]
"""Revision, whether the list is complete, and phase by endpoint, some with the endpoint's start time."""

UP: ListSpec = (4, True, {"a": "up", "b": "up"})
DRAINED: ListSpec = (5, False, {"a": "draining"})

# Lists in order (an int: seconds that pass; "move": another agent), and whether `a` is up at the end.
CASES: dict[str, tuple[list[ListSpec | int | str], bool]] = {
    "an older complete list": ([UP, DRAINED, (3, True, {"a": "up", "b": "up"})], False),
    "the same revision once more": ([UP, DRAINED, (5, True, {"a": "up", "b": "up"})], False),
    "an older update": ([UP, DRAINED, (4, False, {"a": "up"})], False),
    "a later revision": ([UP, DRAINED, (6, False, {"a": "up"})], True),
    "restarted since": ([UP, DRAINED, (3, True, {"a": ("up", 1000), "b": "up"})], True),
    "as it was started before": (
        [UP, (5, False, {"a": ("draining", 9)}), (3, False, {"a": ("up", 9)})],
        False,
    ),
    "removed, then an older list": ([UP, (5, False, {"a": "removed"}), (2, True, {"a": "up"})], False),
    "absent, then an older list": ([UP, (5, True, {"b": "up"}), (2, True, {"a": "up", "b": "up"})], False),
    "absent, then listed anew": ([UP, (5, True, {"b": "up"}), (6, True, {"a": "up", "b": "up"})], True),
    "another agent that is behind": ([UP, DRAINED, "move", (3, True, {"a": "up", "b": "up"})], False),
    "another agent that counts anew": (
        [UP, DRAINED, "move", (1, True, {"a": "draining"}), (2, False, {"a": "up"})],
        True,
    ),
    "long after": ([UP, DRAINED, int(DEPARTURE_RETENTION_S), (3, True, {"a": "up", "b": "up"})], True),
    "never up before": ([(5, True, {"a": "draining"}), (3, True, {"a": "up"})], False),
}


def row(endpoint_id: str, phase: str | tuple[str, int]) -> JsonObject:
    name, since = phase if isinstance(phase, tuple) else (phase, 0)
    return {"id": endpoint_id, "phase": name, "up_since_ms": since}


def response(spec: ListSpec) -> EndpointListResponse:
    revision, complete, phases = spec
    return EndpointListResponse([row(*item) for item in phases.items()], complete, revision)


@pytest.mark.parametrize("name", CASES)
def test_departed_endpoint_returns_only_on_newer_evidence(name: str) -> None:
    steps, back = CASES[name]
    departures = Departures()
    now = 0.0
    filtered = FilteredList([], [], [])
    for step in steps:
        if isinstance(step, int):
            now += step
        elif isinstance(step, str):
            departures.agent_address_changed()
        else:
            filtered = departures.filter(response(step), now)
    phases = {each["id"]: each["phase"] for each in filtered.rows}
    assert (phases["a"] == "up") is back
    assert ("a" in filtered.stale) is not back


def test_endpoint_added_by_older_list_is_accepted() -> None:
    departures = Departures()
    departures.filter(response(UP), 0.0)
    filtered = departures.filter(response((2, True, {"b": "up", "c": "up"})), 0.0)
    assert [each["id"] for each in filtered.rows] == ["b", "c"]
    assert filtered.departed == ["a"]


def test_unreadable_rows_pass_the_filter() -> None:
    rows: list[JsonObject] = [{"id": []}, {"phase": "up"}, {"id": "a", "phase": "up", "up_since_ms": "soon"}]
    assert Departures().filter(EndpointListResponse(rows, True, 1), 0.0).rows == rows


def test_table_of_departures_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(departures_module, "MAX_DEPARTURES", 3)
    departures = Departures()
    for number in range(9):
        departures.filter(response((number, False, {f"e{number}": "draining"})), 0.0)
    assert len(departures.departures) <= 4
