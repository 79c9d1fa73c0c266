"""A scenario in simulated time: many senders, each with a policy, between clients, destinations, discovery
and network, as discrete events in one process.

`ashpath.emulator.runs`, the benchmarks and the tests call it. The same scenario, seed and policy must give
the same outcome, to the byte, on any machine: nothing here may read a clock, the order of a set, or a
source of chance that is not seeded by the run.
"""
