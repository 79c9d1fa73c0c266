"""The policy on the operators' bench, `python -m ashpath.bench_adapter`: its wire on standard streams.

The bench starts it as a process and plays the network of many senders itself: batches of events come in, a
line of JSON each, and the policy's actions go back. It decides nothing, opens no socket and reads no clock.
"""
