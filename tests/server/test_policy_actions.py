"""Actions of the policy: queued during a batch, performed after the batch in the order queued."""

from __future__ import annotations

from pathlib import Path

import pytest
import structlog
from support.limits import connection_pool
from support.sender_harness import LIMITS, POLICY_SETTINGS
from support.sender_parts import unreachable_notifier

from ashpath.server.delivery.attempts import Attempt
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.gossip_link import GossipLink
from ashpath.server.policy_actions import QueuedActions
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import Timers


class ActionsSetup:
    """Queued actions that start attempts, publish gossip and report timers here, recorded in `effects`."""

    def __init__(self, folder: Path) -> None:
        logger = structlog.get_logger()
        write_ahead_log = WriteAheadLog(folder, LIMITS.storage.disk_bytes)
        self.effects: list[object] = []
        self.messages = {n: StoredMessage(n, f"t{n}", 0, 1, None, None, 0, b"") for n in range(1, 5)}
        self.attempts: dict[int, Attempt] = {}
        self.notifier = unreachable_notifier(write_ahead_log)
        gossip = GossipLink()
        gossip.connect(self)
        self.actions = QueuedActions(
            POLICY_SETTINGS,
            self.messages,
            self.attempts,
            self,
            OutcomeRecorder(write_ahead_log, self.notifier),
            connection_pool(),
            OutageStore(folder, logger),
            gossip,
            Timers(self),
            logger,
        )

    def begin_attempt(self, message: StoredMessage, endpoint_id: str, timeout: int) -> None:
        self.effects.append((message.trace_id, endpoint_id, timeout))

    def publish(self, message: bytes) -> None:
        self.effects.append(message)

    def timers_fired(self, tokens: list[str]) -> None:
        self.effects.append(tokens)


@pytest.fixture
def actions_setup(tmp_path: Path) -> ActionsSetup:
    return ActionsSetup(tmp_path)


def test_actions_are_performed_in_order_after_the_batch(actions_setup: ActionsSetup) -> None:
    """No action is performed during the batch; after it, each is performed once, in the order queued."""
    actions_setup.actions.publish(b"back 1 e1")
    actions_setup.actions.start_attempt(1, "e1", 500)
    actions_setup.actions.start_attempt(2, "e2", 700)
    assert not actions_setup.effects
    actions_setup.actions.perform()
    assert actions_setup.effects == [b"back 1 e1", ("t1", "e1", 500), ("t2", "e2", 700)]
    actions_setup.actions.perform()
    assert len(actions_setup.effects) == 3


def test_finished_message_is_released_within_the_batch(actions_setup: ActionsSetup) -> None:
    """A finished message leaves the live messages at once, as the policy reports it no further; its
    notification is queued after the batch."""
    actions_setup.actions.reject(1, 5_000)
    actions_setup.actions.fail(2)
    assert list(actions_setup.messages) == [3, 4]
    assert not actions_setup.notifier.has_pending
    actions_setup.actions.perform()
    assert [message.trace_id for message in actions_setup.notifier.pending] == ["t1", "t2"]


def test_only_attempt_in_flight_at_the_request_is_cancelled(actions_setup: ActionsSetup) -> None:
    """The attempt is looked up when the policy requests the cancellation, so that an attempt that starts
    later in the same batch is not cancelled."""
    early = Attempt(actions_setup.messages[1], "e1", 0, 0)
    actions_setup.attempts[1] = early
    actions_setup.actions.cancel_attempt(1, 0)
    actions_setup.actions.cancel_attempt(2, 0)
    late = Attempt(actions_setup.messages[2], "e1", 0, 0)
    actions_setup.attempts[2] = late
    actions_setup.actions.perform()
    assert early.failure is not None
    assert late.failure is None
