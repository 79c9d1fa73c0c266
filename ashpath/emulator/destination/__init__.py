"""Emulated destinations: a model of a destination without I/O or clock, and an HTTP server that runs the
model on a socket.

The simulation, the loopback runs and the demonstration use this package; a sender never does. The model must
draw random numbers only from the generator that is passed to it, so that runs are reproducible.
"""
