"""The policies that a scenario can run with, by their names on the command line and in outcome files."""

from __future__ import annotations

from ashpath.core.interface import PolicyActions, PolicySettings
from ashpath.emulator.baselines.limits import Backoff, BreakerOnly, FixedLimit, Gradient
from ashpath.emulator.baselines.oracle import Oracle
from ashpath.emulator.policy_under_test import GlobalView, PolicyFactory, PolicyUnderTest
from ashpath.policy.delivery_policy import DeliveryPolicy

DELIVERY_POLICY = "module"


def delivery_policy(settings: PolicySettings, actions: PolicyActions, _: GlobalView, /) -> PolicyUnderTest:
    """Creates the delivery policy that real senders run."""
    return DeliveryPolicy(settings, actions)


POLICIES: dict[str, PolicyFactory] = {
    DELIVERY_POLICY: delivery_policy,
    "fixed": FixedLimit,
    "retries": Backoff,
    "breaker": BreakerOnly,
    "gradient": Gradient,
    "oracle": Oracle,
}
