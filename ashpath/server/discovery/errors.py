"""What can be wrong with a response of service discovery, and what ends a wait for one."""


class DiscoveryError(Exception):
    """Base of this package's errors."""


class UnreadableListError(DiscoveryError):
    """A response's body is no endpoint list."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"no endpoint list: {reason}")


class EmptyListError(DiscoveryError):
    """A snapshot has no endpoint at all: the agent has lost its list, and is not believed."""


class AgentMovedError(DiscoveryError):
    """The agent is at another address from now on. Thrown into a greenlet that pauses; it never leaves it."""
