"""Ids of traffic classes across changes of the settings."""

from __future__ import annotations

import pytest

from ashpath.core.json_types import JsonObject
from ashpath.core.traffic_class_ids import number_traffic_classes

A = {"name": "a", "deadline": 1}
B = {"name": "b", "deadline": 1}
CHANGED_A = {"name": "a", "deadline": 2}
C = {"name": "c", "deadline": 1}


@pytest.mark.parametrize(
    ("listed", "known", "live_messages", "rows", "closed_ids"),
    [
        ([B, A], [A, B], 0, [B, A], []),
        ([B, A], [A, B], 1, [A, B], []),
        ([B], [A, B], 1, [A, B], [0]),
        ([CHANGED_A, B, C], [A, B], 1, [A, B, CHANGED_A, C], [0]),
        ([A, B], [A, B, CHANGED_A, C], 1, [A, B, CHANGED_A, C], [2, 3]),
    ],
)
def test_id_keeps_its_settings_while_messages_are_live(
    listed: list[JsonObject],
    known: list[JsonObject],
    live_messages: int,
    rows: list[JsonObject],
    closed_ids: list[int],
) -> None:
    assert number_traffic_classes(listed, known, live_messages) == (rows, closed_ids)
