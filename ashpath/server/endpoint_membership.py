"""Applies endpoint lists of service discovery: first to the registry of addresses, then to the policy."""

from __future__ import annotations

from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.discovery.snapshot import EndpointRow
from ashpath.server.policy_runner import PolicyRunner


class EndpointMembership:
    """Implements `MembershipListener` of the discovery client."""

    def __init__(self, registry: EndpointRegistry, policy_runner: PolicyRunner) -> None:
        self.registry = registry
        self.policy_runner = policy_runner

    def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
        """Applies an endpoint list or a change of it. Returns whether every member could be read."""
        change = self.registry.apply_members(members, complete=complete)
        self.policy_runner.update_endpoints(change.records, complete=change.complete)
        return not change.unreadable
