"""Discrete-event simulation of a scenario in one process and in virtual time.

The simulation has many senders, each with its own policy, and models of clients, destinations, service
discovery and the network. `ashpath.emulator.runs`, the benchmarks and the tests call it. The same scenario,
seed and policy must produce the same outcome, byte for byte, on any machine: no code in this package may
read a clock, depend on the iteration order of a set, or draw random numbers that the run did not seed.
"""
