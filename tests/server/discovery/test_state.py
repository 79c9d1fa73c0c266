"""Log of discovery states: one line for each change of state."""

from __future__ import annotations

from unittest.mock import Mock, call

from ashpath.server.discovery.state import DiscoveryState, DiscoveryStateLog


def test_only_state_changes_are_logged() -> None:
    logger = Mock()
    state_log = DiscoveryStateLog(logger)
    state_log.poll_ended(DiscoveryState.ANSWERING, 200, 1, 0.0)
    state_log.poll_ended(DiscoveryState.SILENT, 0, 0, 3.0)
    state_log.poll_ended(DiscoveryState.SILENT, 0, 0, 3.0)
    state_log.poll_ended(DiscoveryState.REJECTING, 429, 1, 4.127)
    state_log.poll_ended(DiscoveryState.ANSWERING, 200, 2, 0.0)
    assert logger.mock_calls == [
        call.info("discovery", now="silent", status=0, tries=2, revision=0, list_age_s=3.0),
        call.info("discovery", now="turns calls away", status=429, tries=2, revision=1, list_age_s=4.13),
        call.info("discovery", now="answers", status=200, tries=1, revision=2, list_age_s=0.0),
    ]
    assert state_log.counts == {
        DiscoveryState.ANSWERING: 2,
        DiscoveryState.REJECTING: 1,
        DiscoveryState.UNREADABLE: 0,
        DiscoveryState.SILENT: 2,
    }
