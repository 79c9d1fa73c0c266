"""Conditions of scripted faults: `SIGNAL > NUMBER` or `SIGNAL < NUMBER`."""

from typing import NamedTuple

SIGNALS = ("handed_in", "completed", "bounced", "aborted", "held", "out")
"""The names in scenario files: requests created, delivered, rejected and failed; messages held, attempts in
flight."""


class FaultCondition(NamedTuple):
    """A threshold of a signal. The fault begins as soon as the signal is above or below it."""

    signal: str
    above: bool
    threshold: float

    def is_met(self, value: float) -> bool:
        """Returns whether the signal's value meets the condition."""
        return value > self.threshold if self.above else value < self.threshold


def parse_condition(text: str) -> FaultCondition | None:
    """Returns the condition in a text, or None if the text is not a valid condition.

    >>> parse_condition("completed > 500")
    FaultCondition(signal='completed', above=True, threshold=500.0)
    >>> parse_condition("held<20")
    FaultCondition(signal='held', above=False, threshold=20.0)
    >>> parse_condition("held = 3") is None
    True
    """
    for operator in "><":
        name, found, number = text.partition(operator)
        if found and name.strip() in SIGNALS:
            try:
                return FaultCondition(name.strip(), operator == ">", float(number))
            except ValueError:
                return None
    return None
