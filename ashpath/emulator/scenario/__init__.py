"""Scenario files: their schema, their validation, and their conversion to settings of senders and properties
of destinations.

The simulation, the loopback runs, the benchmarks and `ashpath check` read scenarios. This package must not
depend on whether a scenario runs in simulated or in real time.
"""
