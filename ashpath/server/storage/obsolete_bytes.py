"""Which part of a write-ahead log is obsolete, and whether a rewrite would leave enough of it out.

The live messages are known by an upper bound of their bytes in a rewritten log. What has become obsolete
since the last rewrite is the growth of the difference between the file and that bound.
"""

from __future__ import annotations

SHARED_OBSOLETE_BYTES = 64 << 10  # beside another log, a log with less is not rewritten
LEAST_OBSOLETE_BYTES = 512  # a rewrite that makes less room is not worth it
LEAST_OBSOLETE_SHARE = 1 / 32  # of the log, likewise


class ObsoleteBytes:
    """The obsolete bytes of one log."""

    def __init__(self) -> None:
        self._surplus = 0  # of the file over the bound of the live messages, as it was last rewritten
        self._ended_bytes = 0  # of messages that have ended, in the file as it was last rewritten

    def rewritten(self, written: int, owed: int, ended_bytes: int) -> None:
        """Notes a rewrite: the bytes of the file, the bound of the live messages, and the bytes of messages
        that have ended."""
        self._surplus = written - owed
        self._ended_bytes = ended_bytes

    def since_rewrite(self, written: int, owed: int) -> int:
        """Returns the bytes that have become obsolete since the last rewrite."""
        return written - owed - self._surplus

    def is_wasteful(self, written: int, owed: int) -> bool:
        """Whether the log takes room that another log may need: more than its live messages is obsolete."""
        return self.since_rewrite(written, owed) > max(SHARED_OBSOLETE_BYTES, owed)

    def is_worth_rewrite(self, written: int, owed: int) -> bool:
        """Whether a rewrite makes room, also by leaving out messages that have ended."""
        least = max(LEAST_OBSOLETE_BYTES, LEAST_OBSOLETE_SHARE * written)
        return self.since_rewrite(written, owed) + self._ended_bytes >= least
