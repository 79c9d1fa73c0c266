"""The sender on sockets: all that stands between the policy, which has no I/O and no clock, and the world.

`python -m ashpath` (`platform_deployment`) and `ashpath serve FILE` (`ashpath.cli.standalone`) start it. A
sender is configured, put together and run here (`configuration`, `wiring`, `runtime`, `reload`, `shutdown`);
the packages below have a concern each: `http` for clients, `delivery` for endpoints, `discovery`, `storage`,
`control` for operators, `metrics`. It must never decide what becomes of a message, which is the policy's,
switch greenlets within a batch of the policy, or import what the configuration does not switch on. The ways
of a message and of a change: docs/architecture.md.
"""
