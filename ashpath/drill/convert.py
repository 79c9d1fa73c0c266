"""What the bench's wire calls the door's outcomes and listings."""

from __future__ import annotations

from typing import Any

from ashpath.door import Ending, Listing, Presence

ENDINGS = {
    "Ok": Ending.COMPLETED,
    "Failed": Ending.ERROR,
    "QueueFull": Ending.FULL,
    "TimedOut": Ending.TIMED_OUT,
    "ConnectError": Ending.NO_CONNECTION,
    "ResetByPeer": Ending.RESET,
    "Canceled": Ending.WITHDRAWN,
    "Ignored": Ending.UNSENT,
}
PRESENCES = {"IN": Presence.LISTED, "LAME": Presence.DRAINING, "OUT": Presence.GONE}


def listing(row: dict[str, Any]) -> Listing:
    """A directory line."""
    return Listing(
        endpoint=row["endpoint"],
        destination=row["cell"],
        kind=row.get("hw") or 0,
        zone=row.get("locality") or 0,
        presence=PRESENCES[row.get("availability") or "IN"],
        weight=float(row.get("heft") or 0),
    )
