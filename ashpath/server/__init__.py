"""The sender on sockets: the I/O and the clocks around the policy, which has neither.

`python -m ashpath` (`platform_deployment`) and `ashpath serve FILE` (`ashpath.cli.standalone`) start a
sender. The modules of this package configure, create and run it (`configuration`, `wiring`, `runtime`,
`reload`, `shutdown`). Each sub-package has one concern: `http` serves clients, `delivery` calls endpoints,
`control` serves operators; `discovery`, `storage` and `metrics` are named after theirs.

This package must never decide the outcome of a message, which is the policy's task, switch greenlets within a
batch of the policy, or import a module that the configuration does not switch on. docs/architecture.md
describes the paths of a message and of a change.
"""
