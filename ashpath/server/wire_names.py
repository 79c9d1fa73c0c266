"""The protocol's names, and nothing else of it."""

from ashpath.core.interface import EndpointStatus

# Headers, in lower case as the codec hands them over, and as they are sent.
TRACE = b"x-trace-id"
TRACK = b"x-qos"
EXPIRES = b"x-expires-in-ms"
ROUTE = b"x-route-to"
TAG = b"idempotency-key"
COOKIE = b"cookie"
ORDER = b"about"  # the cookie that carries the key of the order
FULL = b"x-egress-full"
REPORT = b"endpoint-load-metrics"
WAIT = b"retry-after"
PASS = b"authorization"

HAND_IN = b"/api"
READY = b"/health/ready"
HOOK = b"/hook"
MEMBERS = b"/registry/instances"
NOTICES = b"/v1/notices"

# What a sender without a platform answers besides.
HELD = b"/envelopes"
ONE = b"/envelopes/"
DESTINATIONS = b"/destinations"

UNDELIVERABLE = "undeliverable"
DEFERRED = "deferred"

COMPLETED = "completed"
WITHDRAWN = "withdrawn"

PRESENCES = {
    "up": EndpointStatus.ACTIVE,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
