"""A scenario's file: its form, its checks, and what is made of it for senders and destinations.

The simulation, runs on loopback, the benchmarks and `ashpath check` read scenarios. Nothing here may depend
on which clock plays the scenario.
"""
