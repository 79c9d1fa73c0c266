"""Sizes, counts and times of the sender, which are fixed at the start: one structure for each concern.

`ServerLimits` in `server_limits` has one field for each structure, derives the values that depend on the
configuration, and is passed whole only to the modules that create the parts of the sender (`wiring` and the
deployments). Each part receives the structures that it uses. The package has no I/O, and imports nothing of
the sender.

The names of the fields are keys of the table `own` in a sender's own file, so no two structures have a field
of the same name. A name ends in its unit, `_s` for seconds or `_bytes`; names without a unit are counts.
"""
