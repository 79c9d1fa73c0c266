"""The zone of an endpoint that is listed again."""

from __future__ import annotations

from msgspec.structs import replace
from support.scenario import Scenario

from ashpath.policy.delivery_policy import DeliveryPolicy


# An endpoint kept the zone of its first row: a message ran in two zones (review/6).
def test_endpoint_that_is_listed_again_in_another_zone_is_in_that_zone() -> None:
    scenario = Scenario(DeliveryPolicy)
    for line in ("endpoints x1 : 7", "0s submit a s 7"):
        scenario.step(line.split())
    endpoint = scenario.policy.destinations[7].known_endpoints["x1"]
    assert endpoint.zone == 0
    listed_again = replace(scenario.endpoints["x1"], zone=1)
    scenario.run_batch(lambda policy: policy.update_endpoints([listed_again], complete=False))
    assert scenario.policy.destinations[7].known_endpoints["x1"] is endpoint
    assert endpoint.zone == 1
