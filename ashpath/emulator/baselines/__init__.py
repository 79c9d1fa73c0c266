"""Baseline policies for comparison with the delivery policy.

The simulation runs them through the same interface as the delivery policy. They are used in simulations
only: no real sender runs one.
"""
