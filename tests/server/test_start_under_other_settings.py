"""A start under a configuration whose traffic classes differ: stored messages keep theirs, by name."""

from __future__ import annotations

import copy
import signal
from functools import partial
from typing import Any

import pytest
from support.sender_harness import SETTINGS, SenderHarness, wait_until
from support.server import live_messages

MESSAGES = 8
NEW_CLASS = {**SETTINGS["classes"][0], "name": "new"}
CLASSES = SETTINGS["classes"]
REPEATABLE_ONCE = {**CLASSES[2], "repeat": "retryable"}
CHANGES = {
    "a class added at the head": [NEW_CLASS, *CLASSES],
    "the first class removed": CLASSES[1:],
    "the class of the messages removed": CLASSES[:2],
    "the order reversed": CLASSES[::-1],
    "the class made repeatable": [*CLASSES[:2], REPEATABLE_ONCE],
}


def settings_with(classes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the settings with other traffic classes."""
    return {**copy.deepcopy(SETTINGS), "classes": classes}


@pytest.mark.parametrize("classes", CHANGES.values(), ids=CHANGES)
def test_message_in_flight_at_kill_keeps_its_class(
    harness: SenderHarness, classes: list[dict[str, Any]]
) -> None:
    """Guards against review/1: at-most-once messages that were in flight at a kill ran a second time, as the
    start read them as another class, or the start failed for good."""
    harness.start()
    traces = [f"o{number}" for number in range(MESSAGES)]
    for number, trace in enumerate(traces):
        assert harness.submit(trace, "once", "hang 200", number) == 202
    wait_until(lambda: all(harness.attempt_count(trace) for trace in traces))
    harness.kill()
    harness.config["settings"] = settings_with(classes)
    harness.configure()
    harness.start()
    wait_until(lambda: all(harness.notified(trace) for trace in traces))
    assert [harness.notified(trace) for trace in traces] == [["undeliverable"]] * MESSAGES
    assert [harness.attempt_count(trace) for trace in traces] == [1] * MESSAGES


def test_way_back_keeps_classes_of_both_configurations(harness: SenderHarness) -> None:
    """Two configurations in quick succession around kills, and the way back."""
    harness.start()
    assert harness.submit("first", "once", "hang 200", 1) == 202
    wait_until(lambda: harness.attempt_count("first"))
    notifications, harness.notifications_to_reject = harness.notifications, 1 << 30
    for classes, trace in (([NEW_CLASS, *CLASSES], "second"), (CLASSES, "third")):
        harness.kill()
        harness.config["settings"] = settings_with(classes)
        harness.configure()
        harness.start()
        assert harness.submit(trace, "once", "hang 200", 2) == 202
        wait_until(partial(harness.attempt_count, trace))
    harness.kill()
    harness.notifications_to_reject = 0
    harness.start()
    wait_until(lambda: {line["id"] for line in notifications} == {"first", "second", "third"})
    assert {line["status"] for line in notifications} == {"undeliverable"}
    assert [harness.attempt_count(trace) for trace in ("first", "second", "third")] == [1, 1, 1]
    wait_until(lambda: not live_messages(harness))


def test_adopted_message_keeps_its_class_under_another_file(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    """A hot upgrade with another file, whose old process is killed with an attempt in flight. Until it shuts
    down it accepts connections too, and rejects the classes that its own file lacks."""
    old, new = pair
    assert old.submit("o", "once", "hang 200", 1) == 202
    wait_until(lambda: old.attempt_count("o"))
    old.config["settings"] = settings_with([NEW_CLASS, *CLASSES])
    old.configure()
    new.start()
    assert old.process is not None
    old.process.send_signal(signal.SIGTERM)
    wait_until(lambda: 'event="shutdown started"' in (old.folder / "log").read_text())
    assert new.submit("n", "new", "200", 2) == 202
    old.process.kill()
    wait_until(lambda: new.notified("o") and new.attempt_count("n"))
    assert new.notified("o") == ["undeliverable"]
    assert new.attempt_count("o") == 1
