"""Classifies the errno of a failed system call: a fault of this machine, a fault of the far end, or a
descriptor that has become unusable. No other module interprets these numbers.

| errno | classified as |
| --- | --- |
| no descriptor, memory, buffer or local address, an interrupted or busy call | a fault of this machine |
| no route, or the network is down | a fault of this machine, as long as no other dial succeeds |
| not a descriptor, not a socket, no reader | an unusable descriptor |
| any other | a fault of the far end |

A datagram socket has no far end of its own, so its errors have a table of their own, `DatagramFault`:

| errno of a receive | errno of a send | classified as |
| --- | --- | --- |
| no memory or buffer, an interrupted or busy call | the same, and a full send buffer | `LOCAL` |
| an error that the network reported | any other: no route, a rejected packet, | `PEER` |
| for an earlier datagram | an address that this socket cannot reach | |
| any other | not a descriptor, not a socket, shut down | `SOCKET_LOST` |
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from enum import Enum
from time import monotonic
from typing import TypeVar

import gevent

RETRY_PAUSE_S = 0.05
DISK_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EIO})
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
REPORTED_ERRNOS = frozenset(  # the kernel returns them once for each error message of the network
    {
        errno.ECONNREFUSED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPROTO,
        errno.EACCES,
        errno.EPERM,
        errno.EMSGSIZE,
        errno.ETIMEDOUT,
    }
)
UNSENDABLE_ERRNOS = frozenset({errno.EBADF, errno.ENOTSOCK, errno.EPIPE})  # not EINVAL: an unusable address


class DatagramFault(Enum):
    """The cause of a failed call on a datagram socket, and thereby what its caller does next."""

    LOCAL = "a limit of this machine: the next call may succeed after a pause"
    PEER = "one peer, or the way to it: calls for other peers are unaffected"
    SOCKET_LOST = "the socket: every further call on it fails"


def is_local_fault(error: OSError) -> bool:
    """Returns whether a limit of this machine was reached. Such an error is temporary, and unrelated to the
    far end.

    >>> [is_local_fault(OSError(number, "")) for number in (errno.ENOBUFS, errno.ECONNREFUSED)]
    [True, False]
    """
    return error.errno in LOCAL_ERRNOS


def is_without_route(error: OSError) -> bool:
    """Returns whether no packet was sent: this machine's network is down, or it has no route to that
    address."""
    return error.errno in NO_ROUTE_ERRNOS


def is_closed(error: OSError) -> bool:
    """Returns whether the descriptor is unusable, so that every further call on it fails."""
    return isinstance(error, BrokenPipeError) or error.errno in CLOSED_ERRNOS


def receive_fault(error: OSError) -> DatagramFault:
    """Returns the cause of a failed receive on a datagram socket.

    >>> numbers = (errno.ENOMEM, errno.ECONNREFUSED, errno.EBADF)
    >>> [receive_fault(OSError(number, "")).name for number in numbers]
    ['LOCAL', 'PEER', 'SOCKET_LOST']
    """
    if is_local_fault(error):
        return DatagramFault.LOCAL
    return DatagramFault.PEER if error.errno in REPORTED_ERRNOS else DatagramFault.SOCKET_LOST


def send_fault(error: OSError) -> DatagramFault:
    """Returns the cause of a failed send on a datagram socket.

    >>> [send_fault(OSError(number, "")).name for number in (errno.ENOBUFS, errno.EINVAL, errno.EBADF)]
    ['LOCAL', 'PEER', 'SOCKET_LOST']
    """
    if is_local_fault(error):
        return DatagramFault.LOCAL
    return DatagramFault.SOCKET_LOST if error.errno in UNSENDABLE_ERRNOS else DatagramFault.PEER


def retry_local_faults(call: Callable[[], Result], max_duration_s: float) -> Result:
    """Returns the result of `call`, which is retried after local faults for up to `max_duration_s` seconds.

    A start must not fail because a table of this machine is full for a moment. Raises the errors of `call`.
    """
    return _retry(call, is_local_fault, max_duration_s)


def retry_disk_faults(call: Callable[[], Result], max_duration_s: float) -> Result:
    """Returns the result of `call`, which is retried for up to `max_duration_s` seconds while the disk fails.

    A start must not end because the disk is full or fails for a moment: what is stored would stay unanswered
    until the next start. Raises the errors of `call`."""
    return _retry(call, lambda error: error.errno in DISK_ERRNOS, max_duration_s)


def _retry(call: Callable[[], Result], passes: Callable[[OSError], bool], max_duration_s: float) -> Result:
    give_up_at = monotonic() + max_duration_s
    while True:
        try:
            return call()
        except OSError as error:
            if not passes(error) or monotonic() >= give_up_at:
                raise
        gevent.sleep(RETRY_PAUSE_S)
