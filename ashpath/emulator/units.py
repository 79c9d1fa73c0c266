"""Times of the emulator's clocks, simulated or real, in integer microseconds."""

NEVER = 1 << 62
"""A time or a duration that no run reaches."""
