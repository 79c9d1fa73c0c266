"""A destination is not called during a wait that it has asked for, however the response reached the sender.

Each test plays real senders on loopback, all cases at once.
"""

from __future__ import annotations

from pathlib import Path

import gevent
from support.retry_after_play import (
    CUT_BODY,
    DELIVERED,
    INTERIM,
    RANDOM_BYTES,
    REFUSED,
    UNAVAILABLE,
    Case,
    RetryAfterPlay,
    Write,
    wait,
)

HALF = len(REFUSED) // 2


def calls_in_wait(folder: Path, *cases: Case) -> dict[str, int]:
    """Returns the number of calls during the wait for each case with any. Calls go on after each wait."""
    plays = {
        case.name: gevent.spawn(RetryAfterPlay(folder / str(number), case).play)
        for number, case in enumerate(cases)
    }
    results = {name: play.get() for name, play in plays.items()}
    assert [name for name, result in results.items() if not result.calls_after_wait] == []
    return {name: result.calls_in_wait for name, result in results.items() if result.calls_in_wait}


def test_wait_of_counted_response_binds(tmp_path: Path) -> None:
    cases = (
        Case("alone", (wait(REFUSED),)),
        Case("503", (wait(UNAVAILABLE),)),
        Case("behind an interim response", (wait(INTERIM + REFUSED),)),
        Case("0.3 s after its request", (wait(REFUSED, 0.3),)),
        Case("1 s after its request", (wait(REFUSED, 1.0),)),
        Case("once more after 3 ms", (wait(REFUSED), Write(REFUSED, 0.003))),
        Case("random bytes 5 ms after it", (wait(REFUSED), Write(RANDOM_BYTES, 0.005))),
    )
    assert calls_in_wait(tmp_path, *cases) == {}


# Two responses to one request were both discarded, and the Retry-After with them.
def test_wait_of_response_in_doubt_binds(tmp_path: Path) -> None:
    cases = (
        Case("twice in one write", (wait(REFUSED + REFUSED),)),
        Case("three times in one write", (wait(REFUSED * 3),)),
        Case("503 twice in one write", (wait(UNAVAILABLE + UNAVAILABLE),)),
        Case("copy of the last response right before", (wait(DELIVERED + REFUSED),)),
        Case("two copies of the last response right before", (wait(DELIVERED * 2 + REFUSED),)),
        Case("a delivery right behind", (wait(REFUSED + DELIVERED),)),
    )
    assert calls_in_wait(tmp_path, *cases) == {}


# Bytes on a connection without a request out were logged, and the connection closed with its Retry-After.
def test_wait_of_response_without_a_request_binds(tmp_path: Path) -> None:
    halves = (wait(REFUSED[HALF:], 0.015),)
    cases = (
        Case("behind a delivery at once", (Write(DELIVERED), wait(REFUSED))),
        Case("3 ms behind a delivery", (Write(DELIVERED), wait(REFUSED, 0.003))),
        Case("60 ms behind a delivery", (Write(DELIVERED), wait(REFUSED, 0.06))),
        Case("0.3 s behind a delivery", (Write(DELIVERED), wait(REFUSED, 0.3))),
        Case("503 20 ms behind a delivery", (Write(DELIVERED), wait(UNAVAILABLE, 0.02))),
        Case("in halves 20 ms behind", (Write(DELIVERED), Write(REFUSED[:HALF], 0.02), *halves)),
        Case("behind a copy 20 ms later", (Write(DELIVERED), wait(DELIVERED + REFUSED, 0.02))),
        Case("5 ms behind a copy", (Write(DELIVERED), Write(DELIVERED, 0.02), wait(REFUSED, 0.005))),
    )
    assert calls_in_wait(tmp_path, *cases) == {}


# Bytes that are no response ended their connection, whatever followed them.
def test_wait_behind_random_bytes_binds(tmp_path: Path) -> None:
    cases = (
        Case("in one write", (wait(RANDOM_BYTES + REFUSED),)),
        Case("5 ms later", (Write(RANDOM_BYTES), wait(REFUSED, 0.005))),
        Case("a line, and 5 ms later", (Write(RANDOM_BYTES + b"\r\n"), wait(REFUSED, 0.005))),
        Case("behind half a response", (wait(REFUSED[:HALF] + REFUSED),)),
        Case("without a request", (Write(DELIVERED), wait(RANDOM_BYTES + REFUSED, 0.02))),
        Case("without a request, 5 ms later", (Write(DELIVERED + RANDOM_BYTES), wait(REFUSED, 0.005))),
    )
    assert calls_in_wait(tmp_path, *cases) == {}


# A response whose body never came, or was cut, had no outcome, and its Retry-After none either.
def test_wait_of_response_with_cut_body_binds(tmp_path: Path) -> None:
    cases = (
        Case("the connection ends in its body", (wait(CUT_BODY),), closes=True),
        Case("its body never ends", (wait(CUT_BODY),)),
        Case("a response in place of its body", (wait(CUT_BODY), Write(REFUSED, 0.02)), closes=True),
    )
    assert calls_in_wait(tmp_path, *cases) == {}


# The sender had given the attempt up, or closed the connection behind its response, and heard nothing more.
def test_wait_on_connection_that_sender_gave_up_binds(tmp_path: Path) -> None:
    cases = (
        Case("0.5 s after the time-out", (wait(REFUSED, 2.5),)),
        Case("1.5 s after the time-out", (wait(REFUSED, 3.5),)),
        Case("30 ms behind an invalid response", (Write(b"HTTP/9 1\r\n\r\n"), wait(REFUSED, 0.03))),
        Case("30 ms behind two deliveries", (Write(DELIVERED + DELIVERED), wait(REFUSED, 0.03))),
    )
    assert calls_in_wait(tmp_path, *cases) == {}
