"""Runs of a scenario on loopback sockets, in real time: `ashpath serve` processes, destination servers,
agents of service discovery, and clients in a separate process.

`ashpath.emulator.runs` and the tests use the package. The observations are sorted by time after the run and
replayed to the same invariant checker and the same scoreboard as in a simulation. No module of the package
may check a rule during the run.
"""
