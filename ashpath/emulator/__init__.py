"""Emulation of a sender's environment.

The package has models of destinations, scripted scenarios, runs of scenarios in simulated time and on
loopback, baselines to compare the delivery policy with, and a checker of its rules. `ashpath simulate`,
`ashpath demo` and `ashpath check`, the benchmarks and the tests call it. A sender must never import it. No
model represents a measured destination: all figures are invented.
"""
