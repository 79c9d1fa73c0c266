"""Limits of a sender for tests, and parts of a sender that are created with them."""

from __future__ import annotations

from random import Random
from typing import Any

import structlog
from msgspec.structs import asdict

from ashpath.policy.response_trust import ResponseTrust
from ashpath.server.addresses import Address
from ashpath.server.delivery.attempt_log import AttemptLog
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.response_attribution import ResponseAttribution
from ashpath.server.delivery.response_notices import ResponseNotices
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.discovery.snapshot import MembershipListener
from ashpath.server.limits.server_limits import ServerLimits
from ashpath.server.logs import Logger
from ashpath.server.self_checks import SelfChecks
from support.sender_harness import LIMITS


def limits_with(**values: float) -> ServerLimits:
    """Returns the limits of the tests with other values, by the keys of the table `own`."""
    return LIMITS.with_fields(values)


def values_by_key(limits: ServerLimits) -> dict[str, Any]:
    """Returns all values, by the keys of the table `own`."""
    structures = asdict(limits).values()
    return {key: value for structure in structures for key, value in asdict(structure).items()}


def connection_pool(limits: ServerLimits = LIMITS) -> ConnectionPool:
    """Returns an empty pool."""
    logger = structlog.get_logger()
    checks = SelfChecks(AttemptLog(logger), logger)
    attribution = ResponseAttribution(ResponseTrust(), logger)
    return ConnectionPool(limits.endpoints, limits.http, attribution, ResponseNotices(logger), checks)


def discovery_client(
    address: Address,
    revision: int,
    listener: MembershipListener,
    random: Random,
    logger: Logger,
    first_poll_delay_s: float = 0.0,
    limits: ServerLimits = LIMITS,
) -> DiscoveryClient:
    """Returns a client that has not polled yet."""
    return DiscoveryClient(
        address,
        limits.discovery,
        limits.http,
        limits.services.retry_s,
        revision,
        listener,
        random,
        logger,
        first_poll_delay_s,
    )
