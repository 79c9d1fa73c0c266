"""Soak runs: real senders on loopback for a few seconds under faults of all kinds at once.

`plan` draws a run from a seed. `day` executes the run with sender processes, `endpoints`, `clients`, proxies
on the `paths` of senders, and the discovery agents of `fault_injection`. `records` holds what all of them
observed. `judge` reports each broken rule from the records alone, with the tolerances of `sender_history`.
The tests and `benchmarks.soak` use it; a sender never does.
"""
