"""The policy on the operators' bench, `python -m ashpath.bench_adapter`: its wire on standard streams."""
