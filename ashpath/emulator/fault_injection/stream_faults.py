"""Extra, late and invented bytes in one direction of a connection, on a seeded schedule.

Stand-ins write each response, and clients each request, in one piece, so a proxy takes each piece that it
receives for one message and passes it to `StreamFaultInjector.writes`.

| fault | what is written for a message |
| --- | --- |
| REPEAT | the message, and a copy of it after each of `delays_s` |
| REPEAT_IN_HALVES | the message, the first half of a copy after each delay, and the rest `HALF_GAP_S` later |
| OTHER_STATUS | the message, and after each delay a copy that says 503 in place of 200, or the reverse |
| PRECEDE | the message before this one on the connection once more, and right behind it the message |
| INVENT | the message, and `data` after each delay |
| REPEAT_JOINED | the message and a copy of it in one write |
| INVENT_IN_HALVES | as INVENT, the second half of `data` `HALF_GAP_S` after the first |
| PRECEDE_DATA | `data`, and after the first delay the message; with no delay both in one write |
| REPLACE_AND_END | `data` in place of the message, and the end of the connection |
| DELAY | the message, after the first delay |
"""

from __future__ import annotations

from enum import Enum
from random import Random
from time import monotonic
from typing import Protocol

from msgspec import Struct

HALF_GAP_S = 0.01
OK_STATUS = b" 200 "
REFUSED_STATUS = b" 503 "


class StreamFault(Enum):
    """See the table of the module."""

    REPEAT = "repeat"
    REPEAT_IN_HALVES = "repeat in halves"
    OTHER_STATUS = "other status"
    PRECEDE = "precede"
    INVENT = "invent"
    REPEAT_JOINED = "repeat in one write"
    INVENT_IN_HALVES = "invent in halves"
    PRECEDE_DATA = "precede by data"
    REPLACE_AND_END = "replace and end"
    DELAY = "delay"


REPLACING = frozenset(
    {
        StreamFault.DELAY,
        StreamFault.REPEAT_JOINED,
        StreamFault.PRECEDE_DATA,
        StreamFault.REPLACE_AND_END,
    }
)
"""Faults that change the write of the message itself."""


class StreamFaults(Struct, frozen=True):
    """Which messages of a stream are affected, and how."""

    fault: StreamFault
    share: float
    """Share of the messages that are affected, 0 to 1."""
    delays_s: tuple[float, ...] = (0.0,)
    """Seconds from a message to each of its extra writes."""
    quiet_s: float = 0.0
    """Seconds from the creation of the injector in which no message is affected."""
    data: bytes = b""
    """The bytes of the faults that have some of their own."""


class DelayedWrite(Struct, frozen=True):
    """Bytes to be written `delay_s` seconds after their message was received; 0: at once."""

    delay_s: float
    data: bytes
    ends: bool = False
    """The writing side of the connection ends behind them."""


class MessageFaultInjector(Protocol):
    """Decides what is written for each message of a stream."""

    @property
    def injected(self) -> int:
        """Number of messages affected so far."""

    def writes(self, message: bytes, previous: bytes) -> list[DelayedWrite]:
        """Returns what is to be written for a message; `previous` is the one before it, or empty."""


class StreamFaultInjector:
    """Draws the affected messages. One injector serves all connections of a proxy."""

    def __init__(self, faults: StreamFaults, seed: str) -> None:
        self.faults = faults
        self.injected = 0
        """Number of messages affected so far."""
        self._random = Random(seed)
        self._begins_at = monotonic() + faults.quiet_s

    def writes(self, message: bytes, previous: bytes) -> list[DelayedWrite]:
        """Returns what is to be written for a message; `previous` is the one before it, or empty."""
        faults = self.faults
        unchanged = [DelayedWrite(0.0, message)]
        if monotonic() < self._begins_at or self._random.random() >= faults.share:
            return unchanged
        if faults.fault is StreamFault.PRECEDE and not previous:
            return unchanged
        self.injected += 1
        if faults.fault is StreamFault.PRECEDE:
            return [DelayedWrite(0.0, previous + message)]
        if faults.fault in REPLACING:
            return self._replacing_writes(message)
        extra = [write for delay_s in faults.delays_s for write in self._extra_writes(delay_s, message)]
        return unchanged + extra

    def _replacing_writes(self, message: bytes) -> list[DelayedWrite]:
        faults = self.faults
        delay_s = faults.delays_s[0]
        if faults.fault is StreamFault.DELAY:
            return [DelayedWrite(delay_s, message)]
        if faults.fault is StreamFault.REPEAT_JOINED:
            return [DelayedWrite(0.0, message + message)]
        if faults.fault is StreamFault.REPLACE_AND_END:
            return [DelayedWrite(0.0, faults.data, ends=True)]
        if not delay_s:
            return [DelayedWrite(0.0, faults.data + message)]
        return [DelayedWrite(0.0, faults.data), DelayedWrite(delay_s, message)]

    def _extra_writes(self, delay_s: float, message: bytes) -> list[DelayedWrite]:
        if self.faults.fault is StreamFault.INVENT:
            return [DelayedWrite(delay_s, self.faults.data)]
        if self.faults.fault is StreamFault.OTHER_STATUS:
            return [DelayedWrite(delay_s, with_other_status(message))]
        if self.faults.fault is StreamFault.INVENT_IN_HALVES:
            return in_halves(delay_s, self.faults.data)
        if self.faults.fault is StreamFault.REPEAT_IN_HALVES:
            return in_halves(delay_s, message)
        return [DelayedWrite(delay_s, message)]


class PreferringInjector:
    """Two injectors on one stream: messages that the first leaves alone are left to the second."""

    def __init__(self, first: MessageFaultInjector, second: MessageFaultInjector) -> None:
        self.first = first
        self.second = second

    @property
    def injected(self) -> int:
        """Number of messages affected so far."""
        return self.first.injected + self.second.injected

    def writes(self, message: bytes, previous: bytes) -> list[DelayedWrite]:
        """See `MessageFaultInjector`. Both draw for each message, so that each keeps its schedule."""
        injected = self.first.injected
        by_first = self.first.writes(message, previous)
        by_second = self.second.writes(message, previous)
        return by_first if self.first.injected > injected else by_second


def in_halves(delay_s: float, data: bytes) -> list[DelayedWrite]:
    """Returns the writes of the two halves."""
    half = len(data) // 2
    return [DelayedWrite(delay_s, data[:half]), DelayedWrite(delay_s + HALF_GAP_S, data[half:])]


def with_other_status(response: bytes) -> bytes:
    """Returns the response with 503 in place of 200, or with 200 in place of any other status.

    >>> with_other_status(b"HTTP/1.1 200 OK\\r\\n\\r\\n"), with_other_status(b"HTTP/1.1 429 X\\r\\n\\r\\n")
    (b'HTTP/1.1 503 OK\\r\\n\\r\\n', b'HTTP/1.1 200 X\\r\\n\\r\\n')
    """
    status = response[8:13]
    return response.replace(status, REFUSED_STATUS if status == OK_STATUS else OK_STATUS, 1)
