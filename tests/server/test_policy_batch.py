"""Order of calls in a batch: its start, its events, updates of the other process, its end, and the
actions."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import Mock, create_autospec

import pytest
import structlog
from support.limits import connection_pool

from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.policy_actions import QueuedActions
from ashpath.server.policy_batch import PolicyBatch, SharedUpdateReader
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.shared_memory import SharedMemory
from ashpath.server.timers import now, stored_time

LISTED = {"id": "e1", "cell": 7, "phase": "up", "host_port": "127.0.0.1:1"}


class BatchSetup:
    """A batch of this process, the shared memory of the other process, and all calls in order."""

    def __init__(self, directory: Path) -> None:
        logger = structlog.get_logger()
        self.detached_endpoints = DetachedEndpoints(directory, logger)
        registry = EndpointRegistry(["plain"], ["here"], connection_pool(), logger)
        registry.apply_members([LISTED], complete=True)
        self.calls = Mock()
        policy = create_autospec(DeliveryPolicy, instance=True)
        policy.detached = set()
        actions = create_autospec(QueuedActions, instance=True)
        self.calls.attach_mock(policy, "policy")
        self.calls.attach_mock(actions, "actions")
        shared_memory = SharedMemory(directory)
        self.other_process = SharedMemory(directory)
        shared_memory.updates(stored_time())  # all earlier updates count as read
        shared = SharedUpdateReader(shared_memory, self.detached_endpoints, registry)
        self.batch = PolicyBatch(policy, actions, shared)
        self.records = registry.records

    def call_names(self) -> list[str]:
        """Returns the names of the calls so far."""
        return [call[0] for call in self.calls.mock_calls]


@pytest.fixture
def batch_setup(tmp_path: Path) -> BatchSetup:
    return BatchSetup(tmp_path)


def test_actions_are_performed_after_the_batch_ends(batch_setup: BatchSetup) -> None:
    with batch_setup.batch as policy:
        policy.timer_fired("r")
        assert "actions.perform" not in batch_setup.call_names()
    assert batch_setup.call_names() == [
        "policy.begin_batch",
        "policy.timer_fired",
        "policy.end_batch",
        "actions.perform",
    ]


def test_updates_of_other_process_follow_the_events(batch_setup: BatchSetup) -> None:
    """The updates of the other process follow the events, which may list the endpoints that the updates
    name, and precede the end of the batch, which starts attempts. Each update is reported once."""
    expires_at = stored_time() + 3_000_000
    batch_setup.other_process.publish_retry_after(7, "e1", expires_at)
    batch_setup.detached_endpoints.change("e1", detached=True)
    batch_setup.other_process.publish_detached_change()
    for _ in range(2):
        with batch_setup.batch as policy:
            policy.timer_fired("r")
    assert batch_setup.call_names() == [
        "policy.begin_batch",
        "policy.timer_fired",
        "policy.retry_after_received",
        "policy.set_detached",
        "policy.end_batch",
        "actions.perform",
        "policy.begin_batch",
        "policy.timer_fired",
        "policy.end_batch",
        "actions.perform",
    ]
    destination, endpoint_id, at = batch_setup.calls.policy.retry_after_received.call_args.args
    assert (destination, endpoint_id) == (7, "e1")
    assert 2_000_000 < at - now() <= 3_000_000
    assert batch_setup.calls.policy.set_detached.call_args.args == ("e1", True, batch_setup.records["e1"])


def test_error_prevents_the_end_of_the_batch(batch_setup: BatchSetup) -> None:
    """No attempt starts on incomplete events; the next batch applies what is published after the error."""
    batch_setup.other_process.publish_retry_after(7, "e1", stored_time() + 3_000_000)
    with pytest.raises(ZeroDivisionError), batch_setup.batch:
        raise ZeroDivisionError
    assert batch_setup.call_names() == ["policy.begin_batch"]
    batch_setup.other_process.publish_retry_after(7, "e2", stored_time() + 3_000_000)
    with batch_setup.batch:
        pass
    assert batch_setup.call_names()[-2:] == ["policy.end_batch", "actions.perform"]
    assert "policy.retry_after_received" in batch_setup.call_names()
