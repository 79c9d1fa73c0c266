"""A sender's surroundings that are not real: models of destinations, scripted scenarios, and what plays
them in simulated time or on loopback, with baselines to compare the delivery policy with and a checker of
its rules.

`ashpath simulate`, `ashpath demo` and `ashpath check`, the benchmarks and the tests call it. A sender must
never import it, and nothing here may stand for a destination that anybody measured: all figures are made
up.
"""
