"""Limits of the services of the sender, as `runtime` supervises them."""

from __future__ import annotations

from msgspec import Struct


class ServiceLimits(Struct, frozen=True):
    """Pauses after failures, and intervals of checks."""

    retry_s: float = 0.1
    """The first pause after a failure of discovery, of a notification or of a service of the sender."""
    start_retries_s: float = 3.0
    """Time during which opening a listening socket is retried while the machine lacks a descriptor or
    buffer."""
    log_repair_s: float = 0.25
    """Interval between checks for records that could not be written to disk."""
    disk_usage_interval_s: float = 0.25
    """Interval between measurements of the state directory's disk space."""
    memory_interval_s: float = 0.1
    """Interval between measurements of the resident size of the process."""
    adoption_interval_s: float = 0.5
    """Interval between checks for write-ahead logs of processes that have ended."""
    upgrade_adoption_interval_s: float = 0.03
    """The same while another process of the sender runs. Nobody ends the messages of a process between its
    end and the next check."""
