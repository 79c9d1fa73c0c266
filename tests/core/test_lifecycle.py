"""Every change of a message's state is in the table, or refused."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product

import pytest

from ashpath.core.errors import InvalidTransitionError
from ashpath.core.lifecycle import TRANSITIONS, MessageState, transition


@dataclass
class Stub:
    state: MessageState


@pytest.mark.parametrize(("before", "after"), product(MessageState, MessageState))
def test_only_changes_of_the_table_are_made(before: MessageState, after: MessageState) -> None:
    message = Stub(before)
    if after in TRANSITIONS[before]:
        transition(message, after)
        assert message.state is after
    else:
        with pytest.raises(InvalidTransitionError):
            transition(message, after)
        assert message.state is before


def test_a_finished_message_stays_finished() -> None:
    assert not TRANSITIONS[MessageState.FINISHED]
    assert all(MessageState.FINISHED in TRANSITIONS[state] for state in MessageState if TRANSITIONS[state])
