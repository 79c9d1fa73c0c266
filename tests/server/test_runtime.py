"""Supervision of a sender's services."""

from __future__ import annotations

import structlog

from ashpath.server.errors import StartupError
from ashpath.server.runtime import supervise


def test_failed_service_is_started_again() -> None:
    failures: list[Exception | None] = [StartupError("x"), None]

    def service() -> None:
        failure = failures.pop(0)
        if failure is not None:
            raise failure

    supervise(service, 0.01, structlog.get_logger())
    assert not failures
