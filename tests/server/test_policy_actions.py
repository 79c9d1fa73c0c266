"""The policy's actions: queued within a batch, performed after it and in its order."""

from __future__ import annotations

from pathlib import Path

import pytest
import structlog
from support.stages import unreachable_notifier
from support.world import LIMITS, POLICY_SETTINGS

from ashpath.server.delivery.attempts import Attempt
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.gossip_link import GossipLink
from ashpath.server.policy_actions import QueuedActions
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import Timers


class Stages:
    """Actions whose effects are recorded in `done`: it starts attempts and publishes gossip itself."""

    def __init__(self, folder: Path) -> None:
        logger = structlog.get_logger()
        write_ahead_log = WriteAheadLog(folder, LIMITS.disk_bytes)
        self.done: list[object] = []
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
            ConnectionPool(LIMITS),
            OutageStore(folder, logger),
            gossip,
            Timers(self),
            logger,
        )

    def begin_attempt(self, message: StoredMessage, endpoint_id: str, timeout: int) -> None:
        self.done.append((message.trace_id, endpoint_id, timeout))

    def publish(self, message: bytes) -> None:
        self.done.append(message)

    def timers_fired(self, tokens: list[str]) -> None:
        self.done.append(tokens)


@pytest.fixture
def stages(tmp_path: Path) -> Stages:
    return Stages(tmp_path)


def test_nothing_is_done_before_the_batch_is_over(stages: Stages) -> None:
    """Then all of it, in the order of the policy's actions, and once."""
    stages.actions.publish(b"back 1 e1")
    stages.actions.start_attempt(1, "e1", 500)
    stages.actions.start_attempt(2, "e2", 700)
    assert not stages.done
    stages.actions.perform()
    assert stages.done == [b"back 1 e1", ("t1", "e1", 500), ("t2", "e2", 700)]
    stages.actions.perform()
    assert len(stages.done) == 3


def test_a_message_that_is_over_is_no_longer_owned(stages: Stages) -> None:
    """At once, as the policy may report it no further; its notification follows after the batch."""
    stages.actions.reject(1, 5_000)
    stages.actions.fail(2)
    assert list(stages.messages) == [3, 4]
    assert not stages.notifier.has_pending
    stages.actions.perform()
    assert [message.trace_id for message in stages.notifier.pending] == ["t1", "t2"]


def test_only_an_attempt_that_was_in_flight_is_cancelled(stages: Stages) -> None:
    """What it refers to is looked up as the policy asks: an attempt of the same batch is not meant."""
    early = Attempt(stages.messages[1], "e1", 0, 0)
    stages.attempts[1] = early
    stages.actions.cancel_attempt(1, 0)
    stages.actions.cancel_attempt(2, 0)
    late = Attempt(stages.messages[2], "e1", 0, 0)
    stages.attempts[2] = late
    stages.actions.perform()
    assert early.failure is not None
    assert late.failure is None
