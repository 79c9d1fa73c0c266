"""Endpoint lists of service discovery: the registry applies them first, then the policy."""

from __future__ import annotations

from unittest.mock import create_autospec

import pytest
import structlog
from support.limits import connection_pool

from ashpath.core.interface import EndpointRecord
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.endpoint_membership import EndpointMembership
from ashpath.server.policy_runner import PolicyRunner

READABLE = {"id": "e1", "cell": 7, "phase": "up", "host_port": "127.0.0.1:1"}
UNREADABLE = {"id": "e2", "cell": 7, "phase": "up", "host_port": "nowhere"}


@pytest.mark.parametrize("complete", [True, False])
@pytest.mark.parametrize("members", [[READABLE], [READABLE, UNREADABLE]], ids=len)
def test_endpoint_list_reaches_registry_before_policy(
    members: list[dict[str, object]], complete: bool
) -> None:
    """An unreadable member does not keep the others from being applied, and is reported."""
    registry = EndpointRegistry(["plain"], ["here"], connection_pool(), structlog.get_logger())
    policy_runner = create_autospec(PolicyRunner, instance=True)
    policy_updates: list[tuple[list[str], bool, bool]] = []

    def update(records: list[EndpointRecord], *, complete: bool) -> None:
        policy_updates.append(
            ([record.endpoint_id for record in records], complete, "e1" in registry.addresses)
        )

    policy_runner.update_endpoints.side_effect = update
    readable = EndpointMembership(registry, policy_runner).receive_members(members, complete=complete)
    assert readable is (len(members) == 1)
    assert policy_updates == [(["e1"], complete, True)]
