"""Errors in the bench's input."""

from __future__ import annotations


class BenchProtocolError(Exception):
    """The input violates the bench's protocol; the process ends with a one-line message."""


class MalformedBatchError(BenchProtocolError):
    """A line is not a batch, or one of its events has a missing or wrongly typed field."""


class InvalidJsonError(MalformedBatchError):
    """A line is not valid JSON."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"input line is not valid JSON: {problem}")


class MissingClockError(MalformedBatchError):
    """A batch is not an object with a time."""

    def __init__(self) -> None:
        super().__init__("batch has no clock: field 'wall' is missing or not a number")


class UnknownEventError(BenchProtocolError):
    """An event has a name that the protocol does not define."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown event name {name!r}")


class UnknownInstanceError(BenchProtocolError):
    """An event is addressed to an instance that was never started or has been stopped."""

    def __init__(self, number: int, name: str) -> None:
        super().__init__(f"instance {number} is not running, but got event {name!r}")
