"""The delivery policy: every decision on a message, and every tuned value.

The policy runner, the bench adapter and the emulator pass batches of events to `DeliveryPolicy`, which
carries out its decisions through `PolicyActions`. The package does no I/O, reads no clock and has no random
seed of its own: time, settings and seed are arguments.
"""
