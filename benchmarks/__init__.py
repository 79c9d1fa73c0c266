"""Measurements, each a module with its command in its docstring. They print figures, and keep them in
`benchmarks/figures`. Engineers run them by hand; nothing of a sender may import them, and no test may
depend on a figure of the machine.
"""
