"""Assigns ids to traffic classes such that stored messages keep the settings they were accepted under."""

from __future__ import annotations

from typing import NamedTuple

from ashpath.core.json_types import JsonObject


class NumberedTrafficClasses(NamedTuple):
    """Traffic class rows in the order of their ids, and the ids that accept no new messages."""

    rows: list[JsonObject]
    closed_ids: list[int]


def number_traffic_classes(
    listed: list[JsonObject], known: list[JsonObject], live_messages: int
) -> NumberedTrafficClasses:
    """Assigns ids to the rows `listed` in the settings, consistent with the rows `known` before.

    The write-ahead log refers to traffic classes by id. While it contains live messages, an id keeps the
    settings under which they were accepted: a class that was changed or removed keeps its row, and a changed
    one gets a new row at the end. Otherwise a class that is removed, reordered or made at-most-once would
    change the treatment of messages that are already accepted.
    """
    if not live_messages:
        return NumberedTrafficClasses(listed, [])
    rows = [*known, *(row for row in listed if row not in known)]
    return NumberedTrafficClasses(rows, [number for number, row in enumerate(rows) if row not in listed])
