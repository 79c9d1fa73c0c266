"""The names of the sender's protocol on the wire, each mapped once to a term of this program.

The protocol has its own terms for what the code calls a message, a traffic class or a rejection. Only this
module contains them, so that the rest of the program uses one vocabulary, and every header, path and status
of the protocol can be found in this module. docs/architecture.md describes the same mapping. The protocol
defines the values; renaming a constant must not change its value.
"""

from ashpath.core.interface import EndpointStatus
from ashpath.core.snapshots import BreakerState

# Headers, in lower case, as the codec reads and writes them.
TRACE_ID_HEADER = b"x-trace-id"
TRAFFIC_CLASS_HEADER = b"x-qos"
TIME_LEFT_HEADER = b"x-expires-in-ms"  # milliseconds to the message's deadline, or to an attempt's
DESTINATION_HEADER = b"x-route-to"  # `dest=NUMBER` among other fields
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
COOKIE_HEADER = b"cookie"
EGRESS_FULL_HEADER = b"x-egress-full"  # `1` with a 503: the call was not passed on, and so has not run
LOAD_REPORT_HEADER = b"endpoint-load-metrics"
RETRY_AFTER_HEADER = b"retry-after"  # seconds, with decimals
CREDENTIAL_HEADER = b"authorization"

# Headers of HTTP itself that the sender reads.
CONTENT_LENGTH_HEADER = b"content-length"
TRANSFER_ENCODING_HEADER = b"transfer-encoding"
CONNECTION_HEADER = b"connection"
EXPECT_HEADER = b"expect"

READ_HEADERS = frozenset(
    {
        TRACE_ID_HEADER,
        TRAFFIC_CLASS_HEADER,
        TIME_LEFT_HEADER,
        DESTINATION_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        COOKIE_HEADER,
        EGRESS_FULL_HEADER,
        LOAD_REPORT_HEADER,
        RETRY_AFTER_HEADER,
        CREDENTIAL_HEADER,
        CONTENT_LENGTH_HEADER,
        TRANSFER_ENCODING_HEADER,
        CONNECTION_HEADER,
        EXPECT_HEADER,
    }
)
"""The headers that are kept of a received message. Any other is dropped as it is parsed: names and values of
thousands of short ones take many times the bytes of the head."""

ORDERING_KEY_COOKIE = b"about"

# Paths that a sender serves.
SUBMIT_PATH = b"/api"
READINESS_PATH = b"/health/ready"
MESSAGES_PATH = b"/envelopes"  # this path and the next two exist only without a platform
MESSAGE_PATH_PREFIX = b"/envelopes/"
DESTINATIONS_PATH = b"/destinations"

# Paths that a sender calls, of endpoints and of the platform's agent.
DELIVERY_PATH = b"/hook"
ENDPOINT_LIST_PATH = b"/registry/instances"
NOTIFICATION_PATH = b"/v1/notices"

# Final states of a message. Notifications use the first two; the status API and the metrics use all.
FAILED_STATUS = "undeliverable"
REJECTED_STATUS = "deferred"
DELIVERED_STATE = "completed"
CANCELLED_STATE = "withdrawn"

ENDPOINT_STATUSES = {
    "up": EndpointStatus.ACTIVE,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}

# States of a destination's circuit breaker in the status API.
BREAKER_STATES = {
    BreakerState.CLOSED: "closed",
    BreakerState.OPEN: "open",
    BreakerState.HALF_OPEN: "probing",
}
