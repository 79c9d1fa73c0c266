"""A short day of real senders on loopback under faults of all kinds at once, and its judge.

`plan` draws a day from a seed, `day` plays it with sender processes, `endpoints`, `clients` and the agents of
`fault_injection`, `records` is what all of them saw, and `judge` names each broken rule from the records
alone. `benchmarks.soak` and the tests call it; a sender never imports it.
"""
