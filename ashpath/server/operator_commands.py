"""What the commands at the operators' address do. None of them waits.

The decision of what a detached endpoint means is the policy's; the list outlives the process in the state
directory, and the other process of a hot upgrade learns of a change through the shared memory.
"""

from __future__ import annotations

from ashpath.server.control.commands import CommandResult, EndpointCommand, OperatorCommand, Verb
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.http.listener import ClientListener
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.detached_endpoints import DetachedEndpoints


class OperatorCommands:
    """Carries out operators' commands; a `CommandHandler`."""

    def __init__(
        self,
        policy_runner: PolicyRunner,
        registry: EndpointRegistry,
        listener: ClientListener,
        detached_endpoints: DetachedEndpoints,
    ) -> None:
        self.policy_runner = policy_runner
        self.registry = registry
        self.listener = listener
        self.detached_endpoints = detached_endpoints

    def handle(self, command: OperatorCommand) -> CommandResult:
        """Carries out one command; never raises for what an operator may ask."""
        if isinstance(command, EndpointCommand):
            return self.set_detached(command.endpoint_id, detached=command.verb is Verb.DETACH)
        if command.verb is Verb.LAMEDUCK:
            self.listener.set_lame_duck(enabled=True)
            return CommandResult(succeeded=True, message="lame duck: not ready, clients sent away")
        if command.verb is Verb.REJOIN:
            self.listener.set_lame_duck(enabled=False)
            return CommandResult(succeeded=True, message="ending" if self.listener.closing else "ready")
        return CommandResult(succeeded=True)  # PING: the address listens once the write-ahead log is restored

    def set_detached(self, endpoint: str, *, detached: bool) -> CommandResult:
        """Detaches an endpoint, or attaches it again. One that is so already is left as it is."""
        known = self.policy_runner.policy.detached
        if endpoint not in self.registry.records and endpoint not in known:
            return CommandResult(succeeded=False, message=f"unknown endpoint {endpoint}")
        if detached != (endpoint in known):
            try:
                self.detached_endpoints.change(endpoint, detached=detached)
            except OSError as error:
                return CommandResult(succeeded=False, message=f"hold not kept: {error.strerror or error}")
            self.policy_runner.shared_memory.publish_detached_change()
            record = self.registry.records.get(endpoint)
            self.policy_runner.set_detached(endpoint, detached=detached, record=record)
        return CommandResult(succeeded=True, message=f"{endpoint} {'draining' if detached else 'back, cold'}")
