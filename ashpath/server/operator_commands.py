"""Executes the commands that operators send to the control address. No command blocks.

The policy decides what a detached endpoint means. The list of detached endpoints is stored in the state
directory and outlives the process; the other process of a hot upgrade is notified of a change through the
shared memory.
"""

from __future__ import annotations

from ashpath.server.control.commands import CommandResult, EndpointCommand, OperatorCommand, Verb
from ashpath.server.delivery.attempt_log import TRACE_S
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.http.listener import ClientListener
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.detached_endpoints import DetachedEndpoints


class OperatorCommands:
    """Executes operators' commands. Implements `CommandHandler`."""

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
        """Executes one command. Returns a result, and raises no error, for every command that an operator can
        send."""
        if isinstance(command, EndpointCommand):
            return self.set_detached(command.endpoint_id, detached=command.verb is Verb.DETACH)
        if command.verb is Verb.LAMEDUCK:
            self.listener.set_lame_duck(enabled=True)
            return CommandResult(succeeded=True, message="lame duck: not ready, clients sent away")
        if command.verb is Verb.REJOIN:
            self.listener.set_lame_duck(enabled=False)
            return CommandResult(succeeded=True, message="ending" if self.listener.closing else "ready")
        if command.verb in (Verb.TRACE, Verb.ATTEMPTS):
            return self.log_attempts(command.verb)
        return CommandResult(succeeded=True)  # PING: the address listens only after the log is restored

    def log_attempts(self, verb: Verb) -> CommandResult:
        """Logs each attempt for a while, or the latest ones."""
        attempt_log = self.policy_runner.attempt_runner.attempt_log
        if verb is Verb.TRACE:
            attempt_log.trace()
            return CommandResult(succeeded=True, message=f"each attempt is logged for {TRACE_S:.0f} s")
        return CommandResult(succeeded=True, message=f"{attempt_log.write_latest()} attempts logged")

    def set_detached(self, endpoint: str, *, detached: bool) -> CommandResult:
        """Detaches an endpoint, or attaches it again. Succeeds without a change if the endpoint is already in
        that state."""
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
