"""Fault injection for real senders on loopback: faults of the network, the discovery agent, the disk, the
clock and the kernel, each by a seeded schedule, so that a run can be repeated.

`tcp_proxy` fails the connections of a sender to its targets, and `discovery_agent` is an agent of service
discovery that fails by a script. `call_faults` defines which system calls fail and when, `process_faults`
makes them fail within one process, and `launcher` starts a sender with these faults. Tests and
`benchmarks.soak` use the package; a sender never imports it, and the package does not decide whether a run
passed.
"""
