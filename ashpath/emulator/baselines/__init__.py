"""Plain policies to compare the delivery policy with.

The simulation runs them behind the interface that the delivery policy has. They stand here and nowhere
else: no sender is ever started with one.
"""
