"""Every scenario keeps the six rules, and the checker detects violations."""

from __future__ import annotations

import doctest
import importlib
import pkgutil
from collections.abc import Callable
from pathlib import Path
from typing import cast

import pytest
from msgspec.structs import replace
from support import scenario_values
from support.scenario import Scenario

import ashpath.core
from ashpath.core.interface import PolicyActions, PolicySettings
from ashpath.policy.delivery_policy import DeliveryPolicy
from benchmarks import tap

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario_file_keeps_the_six_rules(path: Path) -> None:
    Scenario(DeliveryPolicy).run(path.read_text())


def test_doctest_examples_of_core_modules_pass() -> None:
    names = [module.name for module in pkgutil.iter_modules(ashpath.core.__path__, "ashpath.core.")]
    modules = [scenario_values, tap, *map(importlib.import_module, names)]
    assert "ashpath.core.platform_settings" in names
    assert all(doctest.testmod(module).failed == 0 for module in modules)


def test_retry_after_of_unknown_endpoint_pauses_all_routes() -> None:
    """Guards routes in a hot upgrade: a Retry-After is published without the endpoint's id if that is too
    long for the shared memory, and must then pause all routes.
    """
    scenario = Scenario(DeliveryPolicy)
    for line in ("kind per_endpoint", "endpoints x1 x2 : 7", "0s pass"):
        scenario.step(line.split())
    scenario.run_batch(lambda policy: policy.retry_after_received(7, "", 500_000))
    scenario.step(["1ms", "submit", "a", "s", "7"])
    scenario.expect("queued a")
    scenario.run_to(600_000)
    scenario.expect("attempt a")


def test_recovery_gossip_restarts_recovery_bucket_at_random() -> None:
    """Guards a recovered destination against all senders that receive the gossip at once: their buckets have
    filled during the outage, and each would send a call.
    """
    scenario = Scenario(DeliveryPolicy)
    head = "settings gossip_enabled=1 sender_count=40"
    for line in (head, "2s submit a s 7", "+10ms connect_failed a"):
        scenario.step(line.split())
    outage = scenario.gate(7).outage
    assert outage.down
    outage.recovery_bucket.tokens = 1.0
    scenario.run_batch(lambda policy: policy.receive_gossip(b"back 7 x1"))
    assert not outage.down
    assert outage.recovery_bucket.tokens < 1.0
    scenario.expect("queued a")


class RuleBreakingPolicy:
    """Starts an attempt at once and after each outcome, or never."""

    def __init__(self, actions: PolicyActions, *, sends: bool) -> None:
        self.actions = actions
        self.sends = sends

    def __getattr__(self, event: str) -> Callable[..., None]:
        return lambda *_, **__: None

    def submit(self, message_id: int, *_: object) -> None:
        if self.sends:
            self.actions.start_attempt(message_id, "x1", 5_000_000)

    def attempt_finished(self, message_id: int, *_: object) -> None:
        self.submit(message_id)


SETTINGS_LINES = """settings sender_count=1
class t at_most_once
class k deduplicated window=1s ordered
kind
endpoints x1 : 7
"""
RULE_VIOLATIONS = {
    "got no answer in time": (False, "0s submit a t 7"),
    "may run twice": (True, "0s submit a t 7\n+1s error a"),
    "within a Retry-After": (True, "0s submit a t 7\n+1s overloaded a retry_after=400ms\n+1ms submit b t 7"),
    "out of order": (True, "0s submit a k 7 key=3\n+1ms submit b k 7 key=3"),
    "out of its window": (True, "0s submit a k 7\n+2s timed_out a"),
    "after its grace": (True, "0s drain x1\n+1s submit a t 7"),
    "after its end": (True, "0s submit a t 7\n+1s delivered a"),
}


@pytest.mark.parametrize("rule", RULE_VIOLATIONS)
def test_checker_rejects_each_rule_violation(rule: str) -> None:
    sends, text = RULE_VIOLATIONS[rule]

    def make(_: PolicySettings, actions: PolicyActions) -> DeliveryPolicy:
        return cast(DeliveryPolicy, RuleBreakingPolicy(actions, sends=sends))

    with pytest.raises(AssertionError, match=rule):
        Scenario(make).run(SETTINGS_LINES + text)


def test_replaced_endpoints_are_forgotten_after_a_while() -> None:
    """Guards against unbounded memory where endpoints are replaced under new ids all day: only listed and
    recently removed endpoints stay known.
    """
    scenario = Scenario(DeliveryPolicy)
    for line in ("endpoints x0 : 7", "0s submit a s 7", "+1s delivered a"):
        scenario.step(line.split())
    for number in range(1, 40):
        scenario.endpoints[f"x{number}"] = replace(scenario.endpoints["x0"], endpoint_id=f"x{number}")
        for line in (f"+1s list x{number}", f"+0s remove x{number - 1}", f"+0s submit b{number} s 7"):
            scenario.step(line.split())
        scenario.step(f"+1s delivered b{number}".split())
    assert len(scenario.policy.destinations[7].known_endpoints) < 15
