"""A scenario on loopback sockets, in real time: `ashpath serve` processes between destination servers, an
agent for service discovery, and clients in a process of their own.

`ashpath.emulator.runs` and the tests call it. What is seen is put in order of time afterwards, and goes to
the same invariant checker and the same scoreboard as in a simulation; nothing here may judge while the run
goes on.
"""
