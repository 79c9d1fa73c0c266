"""Message states: `transition` allows exactly the changes in `TRANSITIONS`."""

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
def test_transition_follows_table_and_raises_otherwise(before: MessageState, after: MessageState) -> None:
    message = Stub(before)
    if after in TRANSITIONS[before]:
        transition(message, after)
        assert message.state is after
    else:
        with pytest.raises(InvalidTransitionError):
            transition(message, after)
        assert message.state is before


def test_finished_state_is_final_and_reachable_from_all_others() -> None:
    assert not TRANSITIONS[MessageState.FINISHED]
    assert all(MessageState.FINISHED in TRANSITIONS[state] for state in MessageState if TRANSITIONS[state])
