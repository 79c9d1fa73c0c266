"""Tuned values of the policy; docs/design.md describes when each applies.

Times are microseconds and rates calls per second, unless a comment says otherwise.
"""

from ashpath.core.interface import AttemptOutcome, RetrySafety
from ashpath.core.statistics import SECOND

# Gates.

# Time for which a timed-out call keeps its place in the concurrency limit. A longer one leaves capacity
# unused; a shorter one adds load to a destination that still processes the call.
RESERVATION_TIME = 5 * SECOND
# First cooldown of an open breaker; those after a failed trial request are twice as long. A longer one delays
# the discovery of a recovered destination; a shorter one sends more trial requests to a failing one.
INITIAL_COOLDOWN = 1 * SECOND
# Calls that a gate may have in flight for each place left free by all gates together. A larger ratio starves
# the other destinations; a smaller one holds a single busy destination back.
MAX_IN_FLIGHT_TO_FREE = 3
# Weight of a new measurement, 0 to 1. A larger one follows changes sooner; a smaller one is steadier.
SMOOTHING_GAIN = 0.1
# A time-out is no sign of overload if more fast successes than this overtook the call at its endpoint. A
# smaller number excuses real overload; a larger one reduces the limit because of a dead connection.
OVERTAKING_SUCCESSES = 3
# Share of errors and resets among outcomes from which they are a sign of overload. A smaller share reduces
# the limit because of isolated errors; a larger one misses overload that shows as errors.
OVERLOAD_ERROR_SHARE = 0.5
# Share of calls that find a full connection table, above which idle connections are closed. A smaller share
# costs new connections; a larger one leaves no free ones at the endpoint.
MAX_FULL_TABLE_SHARE = 0.02

# Time-outs. One that is too early costs most where a retry is not free; calls that wait until their deadlines
# would fill the concurrency limit.

# Mean absolute deviations above the mean duration within which nearly all calls end. Fewer deviations free
# places in the limit sooner, but time out slow responses.
DURATION_DEVIATIONS = 8
# Deliveries that are measured before their durations are used. Fewer give unreliable bounds; more keep the
# latency objective as the bound for longer.
MIN_DURATION_SAMPLES = 5
# Multiple of the duration bound that an attempt may take.
TIMEOUT_FACTOR = {RetrySafety.IDEMPOTENT: 1, RetrySafety.DEDUPLICATED: 2, RetrySafety.AT_MOST_ONCE: 4}
# Shortest duration bound that the factor is applied to. Below it, a pause at the endpoint or a new connection
# looks like a time-out.
MIN_TIMEOUT = 2 * SECOND

# Outages and slow start.

# Consecutive failures that make an outage, by their weights, if no call succeeded for OUTAGE_DETECTION_TIME.
# Below one delivery per second proportionally fewer are needed. A larger number detects outages later; a
# smaller one takes isolated failures for outages.
OUTAGE_FAILURES = 4
# Weight of an OVERLOADED outcome at a known rate limit with ample quota left; without ample quota it is 0.
RATE_LIMITED_FAILURE_WEIGHT = 0.25
# Weight of a failure that may have other causes than an outage. A larger weight takes isolated time-outs and
# full connection tables for outages; a smaller one detects outages later.
AMBIGUOUS_FAILURE_WEIGHT = 0.5
# Time without a success after which a rate limit no longer explains failures and OVERLOADED outcomes. A
# longer Retry-After with ample quota left announces an outage. A larger value detects outages later; a
# smaller one takes short pauses for outages.
OUTAGE_DETECTION_TIME = 3 * SECOND // 2
# Time over which events are counted. A longer window is steadier; a shorter one follows changes sooner.
RATE_WINDOW = 10 * SECOND
# Lower bound of the rate expected of a recovering destination; without load reports, the mean rate of
# submissions per destination if that is less. A higher bound sends more calls to destinations that are down.
MIN_EXPECTED_RATE = 0.2
# Share of the messages submitted in an outage that are not resubmissions after a rejection.
NEW_SUBMISSION_SHARE = 0.5
# Share used of a listed rate, which may be half too high. A larger share overloads a recovering destination;
# a smaller one slows its recovery down.
LISTED_RATE_SHARE = 2 / 3
# Share used of the load that the operators' rule allows at a recovering destination. A larger share leaves no
# margin; a smaller one slows the recovery down.
SAFETY_FACTOR = 0.9

# Faults of this machine, such as a full descriptor table: calls pause, longer after each further fault.

# First pause. A shorter one repeats calls while the table is still full; a longer one delays messages.
INITIAL_LOCAL_PAUSE = SECOND // 20
# Doublings of the pause, one for each further fault in a row. More delay messages after the fault has ended.
MAX_LOCAL_PAUSE_DOUBLINGS = 2

# Rate limits.

# Rate of a gate whose rate limit is not known yet, adapted between the two bounds. A higher rate or bound
# wastes limits.
INITIAL_RATE = 0.4
MIN_INITIAL_RATE = 0.01
MAX_INITIAL_RATE = 1.0
# Factor of the initial rate at an OVERLOADED outcome.
INITIAL_RATE_DECREASE_FACTOR = 0.6
# Factor of the initial rate at a success with half of the limit left; its square if all is left.
INITIAL_RATE_INCREASE_FACTOR = 1.08
# Factor of the rate at a burst of OVERLOADED outcomes. A lower one leaves more of the limit unused.
RATE_DECREASE_FACTOR = 0.8
# Factor at the next burst without a success in between, as an exceeded limit may reject all calls.
REPEATED_RATE_DECREASE_FACTOR = 0.5
# Bound of the step by which a success changes the rate; the step is multiplied by the difference between the
# remaining quota and TARGET_REMAINING_QUOTA.
MAX_RATE_INCREASE = 0.4
# The same bound above the even split, as a share of it. A larger one exceeds the limit, as all senders
# increase their rates at once.
EVEN_SPLIT_INCREASE_SHARE = 0.2
# Share of the limit that stays unused in equilibrium. A larger share wastes the limit; a smaller one causes
# OVERLOADED outcomes.
TARGET_REMAINING_QUOTA = 0.25
# Share of the even split below which the rate does not fall: the others cannot use the whole limit for long.
MIN_EVEN_SPLIT_SHARE = 0.5
# Time constant with which earlier reports lose weight. A longer one is steadier; a shorter one follows
# changes sooner.
REPORT_WINDOW = 2 * SECOND
# Seconds of the remaining limit that may be sent at once. More exceeds the limit.
BURST_SECONDS = 0.3
# Remaining share of the limit from which an OVERLOADED outcome points to an outage rather than to the limit.
AMPLE_QUOTA = 0.5

# Queues, polls and ranking.

# Doublings of the pause of one second between failed polls of the endpoint list.
MAX_POLL_DOUBLINGS = 10
# The delay of a poll is drawn at random between this share of the pause and all of it.
MIN_POLL_DELAY_SHARE = 0.5
# Interval between two rankings of the endpoints. A longer one follows failures later.
RANKING_INTERVAL = 1 * SECOND
# Share of the latency objective for which a call waits for a full batch. A larger share saves calls and
# leaves less time for the delivery.
BATCHING_SHARE = 0.5
# Share of the queue capacity above which late messages are dropped. A smaller share drops more late messages;
# a larger one rejects more new messages.
SHEDDING_QUEUE_SHARE = 0.9
# Number of longest late messages among which the least valuable is dropped.
SHEDDING_CANDIDATES = 8
# Shortest Retry-After of a rejection, unless clients heed only a shorter one.
DEFAULT_RETRY_AFTER = 1 * SECOND

# Outcomes after which the attempt may still run at the destination.
MAY_STILL_RUN = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED)
# Outcomes that are no sign of overload.
NO_OVERLOAD_SIGNAL = (
    AttemptOutcome.DELIVERED,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.LOCAL_FAULT,
)
