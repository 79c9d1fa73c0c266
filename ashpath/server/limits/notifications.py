"""Limits of notifications, over HTTP or to a file."""

from __future__ import annotations

from msgspec import Struct


class NotificationLimits(Struct, frozen=True):
    """Sizes of batches and files of notifications, and the times of calls."""

    notification_backoff_s: float = 0.15
    """The longest pause after a failed notification."""
    notification_s: float = 0.5
    """Timeout for the response to a notification."""
    notification_batch: int = 200
    """The largest number of lines in one call."""
    notification_file_bytes: int = 0
    """The size of one file of notifications. A sender's own file sets it."""
    notification_files: int = 0
    """The number of older files that are kept. A sender's own file sets it."""
