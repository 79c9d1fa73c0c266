"""Final outcomes of messages and of client requests.

The values are the names in outcome files and on the status API.
"""

from enum import StrEnum


class FinalOutcome(StrEnum):
    """The final outcome of a message, or of a request over all messages that carried it."""

    DELIVERED = "completed"
    REJECTED = "bounced"
    """The sender rejected it, and the client may submit it again."""
    FAILED = "aborted"
    """It may have run, and must not be submitted again."""
    EXPIRED = "out of time"
    """Its deadline passed while no sender held it."""
