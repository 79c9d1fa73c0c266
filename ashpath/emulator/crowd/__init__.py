"""Crowds of clients that cost a sender memory or work: what they send, and how the sender fares beside them.

`shapes` has the bytes of each kind of client. `clients` plays a number of them against one address, in a
process of its own (`process`). `measured_client` sends ordinary requests beside them. `rig` runs a real
sender with its surroundings on loopback, and `play` measures one crowd. The tests and `benchmarks.crowd` use
them.
"""
