"""Tests that fail for a fault that is known: `KNOWN-RED.txt`, one line each, `test | cause | issue`.

CI passes over just these and prints them. One that passes again fails the run until its line is taken off.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import pytest

from support.world import ROOT

FILE = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


class KnownFailure(NamedTuple):
    """One line of the file."""

    test: str
    """As pytest names it."""
    cause: str
    issue: str


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Raises ValueError where a line has not its three fields, or where there are too many."""
    failures = []
    for line in text.splitlines():
        if line.strip():
            test, cause, issue = (field.strip() for field in line.split("|"))
            failures.append(KnownFailure(test, cause, issue))
    if len(failures) > MAX_KNOWN_FAILURES:
        reason = f"{len(failures)} tests are known to fail, {MAX_KNOWN_FAILURES} at most may"
        raise ValueError(reason)
    return failures


def read_known_failures() -> list[KnownFailure]:
    """None where there is no file."""
    return parse_known_failures(FILE.read_text()) if FILE.exists() else []


def mark_known_failures(items: Sequence[pytest.Item]) -> None:
    """Each is run, and has to fail."""
    failures = {failure.test: failure for failure in read_known_failures()}
    for item in items:
        failure = failures.get(item.nodeid)
        if failure is not None:
            reason = f"{failure.cause} (issue {failure.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))
