"""What can go wrong with a run of the emulator.

The bases are those that `ashpath.cli` tells apart: a ValueError is bad input, a RuntimeError a run that
failed.
"""

from pathlib import Path


class EmulatorError(Exception):
    """Base of the errors of this package."""


class SimulationStalledError(EmulatorError, ValueError):
    """A policy asks for a timer at once, again and again: the simulated clock stands still."""

    def __init__(self, at: int, events: int) -> None:
        super().__init__(f"at {at} us more than {events} events follow on one another")


class UnsupportedFaultError(EmulatorError, ValueError):
    """A scenario has a fault or a condition that only the simulation can play."""

    def __init__(self, fault: str) -> None:
        super().__init__(f"troubles: {fault} is for virtual time only")


class SenderStartError(EmulatorError, RuntimeError):
    """A sender's process ended, or was not ready in time."""

    def __init__(self, log: Path) -> None:
        super().__init__(f"the sender did not start; see {log}")


class FleetStartError(EmulatorError, RuntimeError):
    """Not all senders' processes were ready in time."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"senders did not start; see {folder}")


class RequestError(EmulatorError):
    """A request of a stand-in client has no answer."""


class NotSentError(RequestError):
    """No connection was opened: the request cannot have been read."""


class UnansweredError(RequestError):
    """The request went out; whether it was read nobody knows."""
