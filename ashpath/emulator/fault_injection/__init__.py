"""Faults on purpose, for real senders on loopback: what a network, an agent, a disk, a clock and a kernel
do on a bad day, each by a seeded schedule, so that a run can be played again.

`tcp_proxy` stands between a sender and what it calls, `discovery_agent` is the agent of service discovery,
`call_faults` says which system calls fail and when, `process_faults` makes them fail within one process, and
`launcher` starts a sender with them. Tests and `benchmarks.soak` call it; a sender never imports it, and
nothing here decides whether a run was good.
"""
