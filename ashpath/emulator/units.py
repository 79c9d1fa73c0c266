"""Units of the emulator's clocks, simulated or real: integer microseconds."""

SECOND = 1_000_000
NEVER = 1 << 62
"""A time or a duration that no run reaches."""
