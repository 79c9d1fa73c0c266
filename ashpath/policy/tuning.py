"""The tuned values. Times are microseconds; rates are calls a second. docs/design.md says when each acts."""

from ashpath.core.interface import AttemptOutcome, RetrySafety
from ashpath.core.statistics import SECOND

# The gate.
RESERVATION_TIME = 5 * SECOND  # of a timed-out call: longer spares the destination, shorter uses it sooner
INITIAL_COOLDOWN = 1 * SECOND  # first pause of an open breaker, then twice that: longer finds a return later
MAX_IN_FLIGHT_TO_FREE = (
    3  # that a destination has of the calls in flight, for one left to others; more starves these
)
SMOOTHING_GAIN = 0.1  # weight of a new measurement: more follows a change sooner, less is steadier
OVERTAKING_SUCCESSES = 3  # fast later successes that excuse a time-out
OVERLOAD_ERROR_SHARE = 0.5  # errors and resets below this share of the answers leave the limit alone
MAX_FULL_TABLE_SHARE = 0.02  # past it connections are not kept; less spends new ones, more leaves none

# Timeouts: an early one loses most where a retry is not free; waiting for the deadline would fill the limit.
DURATION_DEVIATIONS = 8  # over the mean that a call is given; less frees places sooner, loses slow answers
MIN_DURATION_SAMPLES = 5  # deliveries before durations are trusted
TIMEOUT_FACTOR = {RetrySafety.IDEMPOTENT: 1, RetrySafety.DEDUPLICATED: 2, RetrySafety.AT_MOST_ONCE: 4}
MIN_TIMEOUT = 2 * SECOND  # below this, a pause at the far end or a new connection looks like a time-out

# Outages and slow start.
OUTAGE_FAILURES = (
    4  # so many in a row, fewer below a call a second, and no success for OUTAGE_DETECTION_TIME: an outage
)
RATE_LIMITED_FAILURE_WEIGHT = (
    0.25  # what a refusal at a known limit counts, with ample quota; without any, nothing
)
AMBIGUOUS_FAILURE_WEIGHT = 0.5  # what a failure counts that may have other causes than an outage
OUTAGE_DETECTION_TIME = 3 * SECOND // 2  # so long without a success, no limit explains failures and refusals
RATE_WINDOW = 10 * SECOND  # over which events are counted; longer is steadier, later to follow
MIN_EXPECTED_RATE = 0.2  # or the mean of all if less, where less is known; more probes more
NEW_SUBMISSION_SHARE = (
    0.5  # of the messages submitted in an outage, so many do not come again after a rejection
)
LISTED_RATE_SHARE = 2 / 3  # of a listed rate, which may be half too high; more overloads, less is slower back
SAFETY_FACTOR = 0.9  # share used of what the rule on recovering destinations allows

# Faults of this machine: its tables may be full, and calls through one gate are tried again ever later.
INITIAL_LOCAL_PAUSE = SECOND // 20  # the first pause; shorter hammers a full table, longer delays messages
MAX_LOCAL_PAUSE_DOUBLINGS = 2  # of it, with each further fault in a row

# The rate limit.
INITIAL_RATE = 0.4  # where none is known yet; more wastes limits, as with its bounds
MIN_INITIAL_RATE = 0.01
MAX_INITIAL_RATE = 1.0
INITIAL_RATE_DECREASE_FACTOR = 0.6  # what a refusal leaves of the initial rate
INITIAL_RATE_INCREASE_FACTOR = 1.08  # by a success
RATE_DECREASE_FACTOR = 0.8  # what a burst of refusals leaves of the rate; lower wastes more of the limit
REPEATED_RATE_DECREASE_FACTOR = (
    0.5  # and the next one without a success: an overrun limit may let none through
)
MAX_RATE_INCREASE = 0.4  # that a success adds, when all of the limit is left
EVEN_SPLIT_INCREASE_SHARE = (
    0.2  # past an even split, the part of it that a success adds; more overruns it as all do it
)
TARGET_REMAINING_QUOTA = (
    0.25  # the share of the limit that successes steer to; more wastes it, less draws refusals
)
MIN_EVEN_SPLIT_SHARE = 0.5  # of an even split: no lower, as the others cannot take it all for long
REPORT_WINDOW = 2 * SECOND  # how long a report holds against the next; longer is steadier, later to follow
BURST_SECONDS = 0.3  # seconds of the limit, as far as it is left, that may go at once; more overruns it
AMPLE_QUOTA = 0.5  # refused with so much of the limit left: an outage, not the limit

# Queues.
MAX_POLL_DOUBLINGS = 10  # of a second, between polls of the endpoint list that fail
MIN_POLL_DELAY_SHARE = 0.5  # of that pause, at random from there to all of it
RANKING_INTERVAL = 1 * SECOND  # how often endpoints are ranked anew
BATCHING_SHARE = 0.5  # of the latency objective that a call waits to be fuller; more saves calls, less time
SHEDDING_QUEUE_SHARE = (
    0.9  # past this part of the capacity late messages give way; less drops more, more rejects new
)
SHEDDING_CANDIDATES = 8  # of those longest late, one of which gives way
DEFAULT_RETRY_AFTER = 1 * SECOND  # of a rejection where nothing better is known

MAY_STILL_RUN = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED)
NO_OVERLOAD_SIGNAL = (
    AttemptOutcome.DELIVERED,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.LOCAL_FAULT,
)
