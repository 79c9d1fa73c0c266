"""A destination that is not real: the model of what its calls meet, free of I/O and of any clock, and the
HTTP server that plays the model on a socket.

The simulation, runs on loopback and the demonstration use it; a sender never does. The model must not draw
from any source of chance but the one that it is handed, so that a run can be repeated.
"""
