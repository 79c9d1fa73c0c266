"""The names that the sender's protocol has on the wire, each mapped here once to the terms of this program.

The protocol has terms of its own for what the code calls a message, a traffic class or a rejection. They
stand in this module and nowhere else, so that the rest of the program reads in one vocabulary: whoever looks
for a header, a path or a status of the protocol's page finds it here. docs/architecture.md has the same
mapping in prose. The protocol settles the values, which never change with the names beside them.
"""

from ashpath.core.interface import EndpointStatus
from ashpath.core.snapshots import BreakerState

# Headers, in lower case: the codec hands them over so, and they are sent so.
TRACE_ID_HEADER = b"x-trace-id"
TRAFFIC_CLASS_HEADER = b"x-qos"
TIME_LEFT_HEADER = b"x-expires-in-ms"  # milliseconds to the message's deadline, or to an attempt's
DESTINATION_HEADER = b"x-route-to"  # `dest=NUMBER` among other fields
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
COOKIE_HEADER = b"cookie"
EGRESS_FULL_HEADER = b"x-egress-full"  # `1` beside a 503: the call was not passed on, so that it never ran
LOAD_REPORT_HEADER = b"endpoint-load-metrics"
RETRY_AFTER_HEADER = b"retry-after"  # seconds, with decimals
CREDENTIAL_HEADER = b"authorization"

ORDERING_KEY_COOKIE = b"about"

# Paths that a sender serves.
SUBMIT_PATH = b"/api"
READINESS_PATH = b"/health/ready"
MESSAGES_PATH = b"/envelopes"  # this one and the next two: only without a platform
MESSAGE_PATH_PREFIX = b"/envelopes/"
DESTINATIONS_PATH = b"/destinations"

# Paths that it calls: of endpoints, and of the platform's agent.
DELIVERY_PATH = b"/hook"
ENDPOINT_LIST_PATH = b"/registry/instances"
NOTIFICATION_PATH = b"/v1/notices"

# Final states of a message: the first two stand in notifications, all in the status API and the metrics.
FAILED_STATUS = "undeliverable"
REJECTED_STATUS = "deferred"
DELIVERED_STATE = "completed"
CANCELLED_STATE = "withdrawn"

ENDPOINT_STATUSES = {
    "up": EndpointStatus.ACTIVE,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}

# Of a destination, in the status API.
BREAKER_STATES = {
    BreakerState.CLOSED: "closed",
    BreakerState.OPEN: "open",
    BreakerState.HALF_OPEN: "probing",
}
