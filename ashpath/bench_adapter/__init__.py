"""Runs the policy on the operators' bench, by `python -m ashpath.bench_adapter`.

The bench starts the adapter as a process and simulates the network of many senders. It writes batches of
events to standard input, one line of JSON each, and reads the policy's actions from standard output. The
adapter makes no decision, opens no socket and reads no clock.
"""
