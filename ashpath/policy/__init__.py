"""Every decision on a message, and every tuned value.

The policy runner, the bench adapter and the emulator call `DeliveryPolicy`, a batch of events at a time. The
package does no I/O, reads no clock and draws no random number of its own seed: time, settings and seed are
arguments, and what it decides goes out through `PolicyActions`.
"""
