"""Errors of emulator runs.

Their base classes are those that `ashpath.cli` distinguishes: a ValueError means invalid input, a
RuntimeError a failed run.
"""

from pathlib import Path


class EmulatorError(Exception):
    """Base of the errors of this package."""


class SimulationStalledError(EmulatorError, ValueError):
    """Too many events at one time: a policy keeps scheduling timers for the current time."""

    def __init__(self, at: int, events: int) -> None:
        super().__init__(
            f"simulation stalled at {at} us: more than {events} events without the clock advancing"
        )


class UnsupportedFaultError(EmulatorError, ValueError):
    """A scenario has a fault or a condition that only the simulation supports."""

    def __init__(self, fault: str) -> None:
        super().__init__(f"troubles: {fault} is supported in simulated time only")


class SenderStartError(EmulatorError, RuntimeError):
    """A sender's process exited, or was not ready in time."""

    def __init__(self, log: Path) -> None:
        super().__init__(f"the sender did not start; see {log}")


class FleetStartError(EmulatorError, RuntimeError):
    """Not all senders' processes were ready in time."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"senders did not start; see {folder}")


class RequestError(EmulatorError):
    """An emulated client received no response to a request."""


class NotSentError(RequestError):
    """No connection was established, so the server cannot have read the request."""


class UnansweredError(RequestError):
    """The request may have been sent; whether the server read it is unknown."""
