"""One log line for each change of how polls end."""

from __future__ import annotations

from unittest.mock import Mock, call

from ashpath.server.discovery.state import DiscoveryState, DiscoveryStateLog


def test_changes_alone_are_logged() -> None:
    logger = Mock()
    state_log = DiscoveryStateLog(logger)
    state_log.poll_ended(DiscoveryState.ANSWERING, 200, 1)
    state_log.poll_ended(DiscoveryState.SILENT, 0, 0)
    state_log.poll_ended(DiscoveryState.SILENT, 0, 0)
    state_log.poll_ended(DiscoveryState.REJECTING, 429, 1)
    state_log.poll_ended(DiscoveryState.ANSWERING, 200, 2)
    assert logger.mock_calls == [
        call.info("discovery", now="silent", status=0, tries=2, revision=0),
        call.info("discovery", now="turns calls away", status=429, tries=2, revision=1),
        call.info("discovery", now="answers", status=200, tries=1, revision=2),
    ]
