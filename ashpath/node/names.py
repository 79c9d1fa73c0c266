"""The protocol's names, and nothing else of it."""

from ashpath.door import Presence

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

HAND_IN = b"/api"
READY = b"/health/ready"
HOOK = b"/hook"
MEMBERS = b"/registry/instances"
NOTICES = b"/v1/notices"

UNDELIVERABLE = "undeliverable"
DEFERRED = "deferred"

PRESENCES = {"up": Presence.LISTED, "draining": Presence.DRAINING, "removed": Presence.GONE}
