"""Errors in responses of service discovery."""


class DiscoveryError(Exception):
    """Base of this package's errors."""


class UnreadableListError(DiscoveryError):
    """The body of a response is not a valid endpoint list."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"not a valid endpoint list: {reason}")


class EmptyListError(DiscoveryError):
    """A snapshot has no endpoints: the agent has lost its list, so the snapshot is not applied."""
