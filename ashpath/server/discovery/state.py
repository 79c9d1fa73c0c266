"""States of the endpoint list polls, by how the last poll ended; logs each change of state.

| a poll ended with                   | state      | next poll is for   | and begins                  |
| ----------------------------------- | ---------- | ------------------ | --------------------------- |
| a list that could be read           | ANSWERING  | changes since it   | at once, as the watch       |
| 429 or 503                          | REJECTING  | the same as before | after the long backoff      |
| another status, or no readable list | UNREADABLE | the same as before | after the short backoff     |
| no connection, or nothing in time   | SILENT     | a snapshot         | after the short backoff     |
| the agent moved meanwhile           | as before  | a snapshot         | at once, at the new address |

Each pause ends early enough for the lease of `lease.py`. After a list with unreadable rows, or one that skips
changes, the next poll is for a snapshot as well. Each state may follow each other state.
"""

from __future__ import annotations

from enum import Enum

from ashpath.server.logs import Logger


class DiscoveryState(Enum):
    """How the last poll ended; the value appears in the log line."""

    ANSWERING = "answers"
    REJECTING = "turns calls away"
    UNREADABLE = "not read"
    SILENT = "silent"


class DiscoveryStateLog:
    """Logs each change of state once, with the number of polls since the previous change."""

    def __init__(self, logger: Logger) -> None:
        self.logger = logger
        self.state = DiscoveryState.ANSWERING
        self.polls = 0  # since the last change of state
        self.counts = dict.fromkeys(DiscoveryState, 0)  # of all polls, for the metrics

    def poll_ended(self, state: DiscoveryState, status: int, revision: int, age_s: float) -> None:
        """Counts a poll, and logs its state if it differs from the last one.

        `status`: HTTP status of the response, 0 if there was none. `revision`: revision of the next poll, 0
        for a snapshot. `age_s`: seconds since a list was last read."""
        self.polls += 1
        self.counts[state] += 1
        if state is self.state:
            return
        self.logger.info(
            "discovery",
            now=state.value,
            status=status,
            tries=self.polls,
            revision=revision,
            list_age_s=round(age_s, 2),
        )
        self.state = state
        self.polls = 0
