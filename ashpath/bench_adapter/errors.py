"""What goes wrong between the bench and this adapter."""

from __future__ import annotations


class BenchProtocolError(Exception):
    """What came in is not the bench's wire; ends the process with one line."""


class MalformedBatchError(BenchProtocolError):
    """A line is no batch, or an event of it lacks a field or has one of a wrong type."""


class InvalidJsonError(MalformedBatchError):
    """A line is not JSON."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"a line is not JSON: {problem}")


class MissingClockError(MalformedBatchError):
    """A batch does not say what time it is."""

    def __init__(self) -> None:
        super().__init__("a batch has no clock ('wall')")


class UnknownEventError(BenchProtocolError):
    """An event of a name that the wire does not have."""

    def __init__(self, name: str) -> None:
        super().__init__(f"event of unknown name {name!r}")


class UnknownInstanceError(BenchProtocolError):
    """An event for an instance that was never started, or is switched off."""

    def __init__(self, number: int, name: str) -> None:
        super().__init__(f"instance {number} got {name!r} but was never started")
