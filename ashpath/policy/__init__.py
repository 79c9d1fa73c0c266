"""Every decision on a message, and every tuned value. No I/O, no clock: time and randomness are arguments."""
