"""Types that all packages share: the policy's interface, settings and state, message states, statistics.

The policy subclasses the state classes of this package, which contain no decisions. Adapters use the policy
through `interface.py`, and convert the operators' settings with `policy_settings.py`. This package imports no
other package of ashpath, opens no file or socket, reads no clock, and contains no tuning constants.
"""
