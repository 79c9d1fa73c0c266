"""Soak runs: real senders on loopback for a few seconds under faults of all kinds at once.

`plan` draws a run from a seed. `day` executes the run with sender processes, `endpoints`, `clients` and the
discovery agents of `fault_injection`. `records` holds what all of them observed, and `judge` reports each
broken rule from the records alone. `benchmarks.soak` and the tests use it; a sender never does.
"""
