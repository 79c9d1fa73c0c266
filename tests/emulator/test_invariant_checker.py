"""Violations that the invariant checker reports for events of one sender, and for collapses."""

from __future__ import annotations

import re
from collections import Counter

import pytest

from ashpath.core.interface import RetrySafety, TrafficClassSettings
from ashpath.core.time_units import SECOND
from ashpath.emulator.invariant_checker import InvariantChecker

DEDUPLICATED = TrafficClassSettings(
    1.0, 4 * SECOND, 20 * SECOND, RetrySafety.DEDUPLICATED, 5 * SECOND, True, 0.0, True
)
AT_MOST_ONCE = TrafficClassSettings(
    1.0, 4 * SECOND, 20 * SECOND, RetrySafety.AT_MOST_ONCE, 0, True, 0.0, False
)
# Events of one sender, and the rules that they break: T accepted, S attempt sent, E its outcome, F final
# answer, W Retry-After received, O endpoint removed. Times are in milliseconds. A leading `o` makes the
# message at-most-once.
OBSERVATIONS = """
    T0 S1 E9:completed                               ~
    T0 S1 E9:error F10:bounced                       ~
    T0 S1 E9:full S10 E20:completed                  ~
    T0 S1 E9:error S5500                             ~ doubled
    T0 S1 S2                                         ~ doubled
    T0 S1 E9:error F10:aborted F11:aborted           ~ lost
    T0 S1 E9:error F10:aborted S12                   ~ lost
    T0 F20100:bounced                                ~ lost
    T0                                               ~ lost
    T0 W1:500 S400 E500:completed                    ~ wait
    T0 W1:500 S501 E502:completed                    ~
    T0 O1 S900 E901:completed                        ~
    T0 O1 S1002 E1003:completed                      ~ drain
    o T0 S1 E9:error S10                             ~ doubled
    o T0 S1 E9:error F10:bounced                     ~ doubled
    o T0 S1 E9:no+connection F10:bounced             ~
    o T0 S1 E9:error F10:aborted                     ~
"""


def checker_after(words: list[str]) -> InvariantChecker:
    checker = InvariantChecker(SECOND, SECOND // 5)
    settings = AT_MOST_ONCE if words[0] == "o" else DEDUPLICATED
    began = 0
    for word in words:
        found = re.fullmatch(r"([TSEFWO])([0-9]+)(?::(.*))?", word)
        if found is None:
            continue
        at = int(found[2]) * 1000
        text = (found[3] or "").replace("+", " ")
        if found[1] == "T":
            checker.accepted(at, 0, 1, "a", 7, settings, 3, 20 * SECOND)
        elif found[1] == "S":
            began = at
            checker.attempt_sent(at, 0, 1, "e", "7")
        elif found[1] == "E":
            checker.attempt_finished(at, 0, 1, text, began)
        elif found[1] == "F":
            checker.final_answer(at, 0, 1, text)
        elif found[1] == "W":
            checker.retry_after_received(at, 0, "7", int(text) * 1000)
        else:
            checker.endpoint_listed(at, 0, "e", False)
    checker.run_ended(60 * SECOND)
    return checker


@pytest.mark.parametrize("row", [row.strip() for row in OBSERVATIONS.strip().splitlines()])
def test_checker_reports_rules_broken_by_one_sender(row: str) -> None:
    words, _, broken = (part.strip() for part in row.partition("~"))
    seen = " ".join(sorted(checker_after(words.split()).counts))
    assert seen == broken or (broken == "doubled" and "doubled" in seen), (row, seen)


def checker_with_two_messages() -> InvariantChecker:
    checker = InvariantChecker(SECOND, SECOND // 5)
    for number in (1, 2):
        checker.accepted(0, 0, number, f"e{number}", 7, DEDUPLICATED, 3, 20 * SECOND)
    return checker


def test_second_message_sent_before_first_breaks_order() -> None:
    checker = checker_with_two_messages()
    checker.attempt_sent(1, 0, 2, "e", "7")
    assert checker.counts == Counter(order=1)


def checker_with_settling_key() -> InvariantChecker:
    checker = checker_with_two_messages()
    checker.attempt_sent(1, 0, 1, "e", "7")
    checker.attempt_finished(1000, 0, 1, "reset", 1)
    checker.attempt_sent(2000, 0, 1, "e", "7")
    assert not checker.counts, "a message's own retry must not wait until its key has settled"
    checker.attempt_finished(3000, 0, 1, "reset", 2000)
    checker.final_answer(3000, 0, 1, "aborted")
    checker.attempt_sent(100_000, 0, 2, "e", "7")
    return checker


def test_next_message_sent_while_key_settles_breaks_order() -> None:
    assert checker_with_settling_key().counts == Counter(order=1)


def test_collapse_is_attributed_to_senders_that_saw_failures() -> None:
    """Senders break the rule only if those that saw the outage sent two thirds of the load or more."""
    checker = checker_with_settling_key()
    checker.outage_began(0, 7)
    checker.attempt_finished(200_000, 0, 2, "timed out", 100_000)
    checker.collapsed(300_000, 7, Counter({0: 1, 1: 1}))
    assert "returning" not in checker.counts, "half of the load came from a sender that had seen no failure"
    checker.collapsed(300_000, 7, Counter({0: 2, 1: 1}))
    assert checker.counts == Counter(order=1, returning=1)
