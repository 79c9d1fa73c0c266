"""The sockets that processes of this machine hold, as Linux tells in `/proc`."""

from __future__ import annotations

import os
from collections.abc import Sequence
from contextlib import suppress


def open_sockets(process_ids: Sequence[int]) -> set[str]:
    """Returns the sockets that processes held together at one instant.

    A look at one process takes some milliseconds, in which it closes and opens sockets. Those that two looks
    in a row have found were open between the looks."""
    first = [sockets_of(process_id) for process_id in process_ids]
    second = [sockets_of(process_id) for process_id in process_ids]
    both = [before & after for before, after in zip(first, second, strict=True)]
    return set().union(*both)


def sockets_of(process_id: int) -> set[str]:
    """Returns the sockets of one process, empty if it has ended."""
    targets = set()
    with suppress(OSError):  # it has ended
        for name in os.listdir(f"/proc/{process_id}/fd"):
            with suppress(OSError):  # it is closed
                targets.add(os.readlink(f"/proc/{process_id}/fd/{name}"))
    return {target for target in targets if target.startswith("socket:")}
