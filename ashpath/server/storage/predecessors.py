"""What a message waits for that another process of the sender has: earlier messages of its ordering key, and
the rest of the key after an attempt there."""

from __future__ import annotations

from collections.abc import Sequence

from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.other_logs import OtherLogs
from ashpath.server.storage.stored_message import StoredMessage

LOOKS_FOR_PREDECESSORS = 2
"""A process that adopts a message moves it from a log to another one, perhaps between the reads of both."""


class Predecessors:
    """Compares the messages of this process with those of the others."""

    def __init__(self, messages: LiveMessages, other_logs: OtherLogs) -> None:
        """`messages`: those of this process."""
        self._messages = messages
        self._other_logs = other_logs

    def find(self, messages: Sequence[StoredMessage]) -> None:
        """Notes for each message those of its ordering key that other processes accepted before, and have."""
        keys = {message.ordering_key for message in messages if message.ordering_key is not None}
        earlier = [
            other
            for other in self._other_logs.live_of_keys(keys)
            if other.trace_id not in self._messages.by_trace_id
        ]
        for message in messages:
            message.predecessors = tuple(
                other.trace_id
                for other in earlier
                if other.ordering_key == message.ordering_key and other.message_id < message.message_id
            )

    def has_unfinished(self, message: StoredMessage) -> bool:
        """Whether a message that another process had accepted before has not ended yet, here or there."""
        for _ in range(LOOKS_FOR_PREDECESSORS):
            unfinished = tuple(trace_id for trace_id in message.predecessors if self._is_live(trace_id))
            if unfinished == message.predecessors:
                break
        message.predecessors = unfinished
        return bool(message.predecessors)

    def rest_left(self, message: StoredMessage, settle_s: float) -> float:
        """Returns the seconds for which the key of a message rests after an attempt of another process."""
        if message.ordering_key is None:
            return 0.0
        return self._other_logs.rests.time_left(message.ordering_key, message.trace_id, settle_s)

    def _is_live(self, trace_id: str) -> bool:
        return trace_id in self._messages.by_trace_id or self._other_logs.is_live(trace_id)
