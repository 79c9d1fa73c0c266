"""A failed check of the sender's own books is counted and logged, and nothing else."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from ashpath.server.delivery.attempt_log import AttemptLog
from ashpath.server.self_checks import Check, SelfChecks


@pytest.mark.parametrize("check", Check)
def test_failed_check_is_counted_and_writes_latest_attempts_once(check: Check) -> None:
    logger = Mock()
    attempt_log = AttemptLog(logger)
    attempt_log.records.append(Mock())
    checks = SelfChecks(attempt_log, logger)
    checks.expect(check, holds=True, subject="a")
    assert not logger.error.called
    for _ in range(2):
        checks.expect(check, holds=False, subject="a")
    assert checks.failures[check] == 2
    logger.error.assert_called_with("self-check failed", check=check.value, subject="a")
    assert logger.info.call_count == 1
