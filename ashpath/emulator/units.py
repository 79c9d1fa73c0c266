"""Units of the emulator's clocks, simulated or real: whole microseconds."""

SECOND = 1_000_000
NEVER = 1 << 62
"""A moment or a duration that no run reaches."""
