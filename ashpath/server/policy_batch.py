"""One batch of the policy: events that arrived together, what the other process published, and the actions.

    with batch as policy:
        policy.submit(...)

`__enter__` begins the batch at the current time. The body reports events. `__exit__` then applies what
another process of a hot upgrade has published since the last batch, and ends the batch: the policy
re-evaluates and queues its actions, which are performed at once. No greenlet switches between the begin and
the end, so that batches never interleave. An exception in the body leaves the batch without ending it.

What the other process published is read when the batch begins. It is applied after the body, because an event
of the body may add the endpoints concerned, and before the end of the batch, because attempts start there.
"""

from __future__ import annotations

from types import TracebackType

from msgspec import Struct

from ashpath.core.interface import EndpointRecord
from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.policy_actions import QueuedActions
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.shared_memory import SharedMemory
from ashpath.server.timers import now, stored_time


class RetryAfter(Struct, frozen=True):
    """A Retry-After that the other process received from an endpoint."""

    destination: int
    endpoint_id: str
    until: int
    """In microseconds of this process's monotonic clock."""


class Detachment(Struct, frozen=True):
    """An endpoint that an operator detached or attached through the other process."""

    endpoint_id: str
    detached: bool
    record: EndpointRecord | None
    """The endpoint as this process last saw it listed; None if it is not listed."""


class SharedUpdates(Struct, frozen=True):
    """What another process published since the last batch."""

    retry_afters: tuple[RetryAfter, ...]
    detachments: tuple[Detachment, ...]

    def apply(self, policy: DeliveryPolicy) -> None:
        """Reports the updates to the policy, within a batch."""
        for retry_after in self.retry_afters:
            policy.retry_after_received(retry_after.destination, retry_after.endpoint_id, retry_after.until)
        for detachment in self.detachments:
            policy.set_detached(detachment.endpoint_id, detachment.detached, detachment.record)


class SharedUpdateReader:
    """Reads the updates that the other process of a hot upgrade publishes."""

    def __init__(
        self,
        shared_memory: SharedMemory,
        detached_endpoints: DetachedEndpoints,
        registry: EndpointRegistry,
    ) -> None:
        self.shared_memory = shared_memory
        self.detached_endpoints = detached_endpoints
        self.registry = registry

    def pending(self) -> bool:
        """Returns whether an update was published since the last `read`."""
        return self.shared_memory.changed()

    def read(self, detached: set[str]) -> SharedUpdates:
        """Returns what was published since the last call. `detached`: endpoints that are detached in this
        process."""
        monotonic_time = now()
        wall_time = stored_time()
        published = self.shared_memory.updates(wall_time)
        retry_afters = tuple(
            RetryAfter(notice.destination, notice.endpoint, monotonic_time + notice.end - wall_time)
            for notice in published.notices
        )
        return SharedUpdates(retry_afters, self._detachments(detached) if published.detached_changed else ())

    def _detachments(self, detached_here: set[str]) -> tuple[Detachment, ...]:
        detached = self.detached_endpoints.read()
        return tuple(
            Detachment(endpoint_id, endpoint_id in detached, self.registry.records.get(endpoint_id))
            for endpoint_id in sorted(detached ^ detached_here)
        )


class PolicyBatch:
    """The context manager of a batch. One instance serves all batches, as they never overlap."""

    def __init__(self, policy: DeliveryPolicy, actions: QueuedActions, shared: SharedUpdateReader) -> None:
        self.policy = policy
        self.actions = actions
        self.shared = shared
        self._updates: SharedUpdates | None = None

    def __enter__(self) -> DeliveryPolicy:
        self.policy.begin_batch(now())
        if self.shared.pending():
            self._updates = self.shared.read(self.policy.detached)
        return self.policy

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        updates = self._updates
        self._updates = None
        if error_type is not None:
            return
        if updates is not None:
            updates.apply(self.policy)
        self.policy.end_batch()
        self.actions.perform()
