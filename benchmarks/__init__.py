"""Benchmarks, each a module with its command in its docstring. They print figures, and store them in
`benchmarks/figures`. Engineers run them by hand. The sender must not import them, and no test may depend on a
figure that depends on the machine.
"""
