"""Messages of one ordering key that wait for each other."""

from __future__ import annotations

from support.scenario import Scenario

from ashpath.policy.delivery_policy import DeliveryPolicy


def test_message_has_followers_while_others_of_its_key_wait() -> None:
    scenario = Scenario(DeliveryPolicy)
    for line in (
        "class o idempotent deadline=30s ordered",
        "0s submit a b o 7 key=3",
        "0s submit c o 7 key=4",
    ):
        scenario.step(line.split())
    policy = scenario.policy
    a, b, c = (scenario.ids[name] for name in "abc")
    assert [policy.has_followers(message) for message in (a, b, c)] == [True, True, False]
    scenario.step(["+1ms", "delivered", "a"])
    assert not policy.has_followers(b)
