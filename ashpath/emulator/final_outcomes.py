"""How a message or a client's request ends.

The values are the names in outcome files and on the status API.
"""

from enum import StrEnum


class FinalOutcome(StrEnum):
    """The one end of a message, or of a request over all messages that carried it."""

    DELIVERED = "completed"
    REJECTED = "bounced"
    """The sender gave it back, and the client may submit it again."""
    FAILED = "aborted"
    """It may have run, and must not be submitted again."""
    EXPIRED = "out of time"
    """Its client still had it as its deadline passed."""
