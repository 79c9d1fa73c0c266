"""What the errno of a failed system call says, told apart here alone: of this machine, of the far end, or
that the descriptor will never serve again.

| errno | it is |
| --- | --- |
| no descriptor, memory, buffer or local address, an interrupted or busy call | a fault of this machine |
| no route, or the network is down | a fault of this machine, while no other dial comes up |
| not a descriptor, not a socket, nobody reads | the end of that descriptor |
| any other | the far end's |
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from time import monotonic
from typing import TypeVar

import gevent

RETRY_PAUSE_S = 0.05
Result = TypeVar("Result")

LOCAL_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
    }
)
NO_ROUTE_ERRNOS = frozenset({errno.ENETUNREACH, errno.ENETDOWN})
CLOSED_ERRNOS = frozenset({errno.EBADF, errno.ENOTSOCK, errno.EPIPE, errno.EINVAL})


def is_local_fault(error: OSError) -> bool:
    """A limit of this machine was reached, for a moment: it says nothing of whoever was called.

    >>> [is_local_fault(OSError(number, "")) for number in (errno.ENOBUFS, errno.ECONNREFUSED)]
    [True, False]
    """
    return error.errno in LOCAL_ERRNOS


def is_without_route(error: OSError) -> bool:
    """No packet left: this machine's network is down, or that one place cannot be reached from it."""
    return error.errno in NO_ROUTE_ERRNOS


def is_closed(error: OSError) -> bool:
    """The descriptor will not serve again: a call on it that is tried again fails for good."""
    return isinstance(error, BrokenPipeError) or error.errno in CLOSED_ERRNOS


def retry_local_faults(call: Callable[[], Result], max_duration_s: float) -> Result:
    """What the call returns; it is made again while this machine lacks something, for so many seconds.

    A start must not fail for a table that is full for a moment. Raises the call's errors.
    """
    give_up_at = monotonic() + max_duration_s
    while True:
        try:
            return call()
        except OSError as error:
            if not is_local_fault(error) or monotonic() >= give_up_at:
                raise
        gevent.sleep(RETRY_PAUSE_S)
