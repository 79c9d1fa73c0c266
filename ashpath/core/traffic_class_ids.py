"""Numbers the traffic classes of the settings, so that stored messages keep the settings they came under."""

from __future__ import annotations

from typing import NamedTuple

from ashpath.core.json_types import JsonObject


class NumberedTrafficClasses(NamedTuple):
    """Traffic class rows in the order of their ids, and the ids that accept nothing new."""

    rows: list[JsonObject]
    closed_ids: list[int]


def number_traffic_classes(
    listed: list[JsonObject], known: list[JsonObject], live_messages: int
) -> NumberedTrafficClasses:
    """The rows that are `listed` in the settings, by ids that agree with the rows `known` before.

    The write-ahead log knows traffic classes by id. While it has live messages, an id keeps the settings
    under which they were accepted: a class that the settings changed or lack keeps its row, and a changed
    one gets another row behind. Guards messages against a class that is removed, reordered or made
    at-most-once under them.
    """
    if not live_messages:
        return NumberedTrafficClasses(listed, [])
    rows = [*known, *(row for row in listed if row not in known)]
    return NumberedTrafficClasses(rows, [number for number, row in enumerate(rows) if row not in listed])
