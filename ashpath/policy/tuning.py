"""Tuned values of the policy; docs/design.md describes when each applies.

Times are microseconds and rates calls per second, unless a comment says otherwise.
"""

from ashpath.core.interface import AttemptOutcome, RetrySafety
from ashpath.core.time_units import MILLISECOND, SECOND

# Gates.

# Time for which a timed-out call keeps its place in the concurrency limit. A longer time leaves capacity
# unused; a shorter one adds load to a destination that still processes the call.
RESERVATION_TIME = 5 * SECOND
# First cooldown of an open circuit breaker. Cooldowns after failed trial requests are twice as long, except
# after a refused connection that costs the destination nothing. A longer cooldown delays the discovery of a
# recovered destination; a shorter one sends more trial requests to a failing destination.
INITIAL_COOLDOWN = 1 * SECOND
# Calls that a gate may have in flight for each further call that fits into max_in_flight, which all gates
# share. The maximum of the concurrency limits follows from the same ratio. A larger ratio lets one slow
# destination starve the others; a smaller one limits a single busy destination too much.
MAX_IN_FLIGHT_TO_FREE = 3
# Weight of a new measurement in smoothed values, 0 to 1. A larger weight follows changes sooner; a smaller
# one is steadier. Half of the weight applies to the share of calls that find a full connection table, and is
# the smallest capacity share assumed of a destination that is down or recovering.
SMOOTHING_GAIN = 0.1
# A time-out is no sign of overload, and reserves no place, if more later calls than this succeeded fast at
# the endpoint. A smaller number misses real overload; a larger one reduces the limit because of a dead
# connection.
OVERTAKING_SUCCESSES = 3
# Share of errors and connection resets, among these and the deliveries, from which they are a sign of
# overload. A smaller share reduces the limit because of isolated errors; a larger one misses overload that
# shows as errors.
OVERLOAD_ERROR_SHARE = 0.5
# Share of calls that find a full connection table, above which idle connections are closed, and a single
# ambiguous failure makes no outage unless it is CONNECT_FAILED. A smaller share costs new connections; a
# larger one leaves no free connections at the endpoint.
MAX_FULL_TABLE_SHARE = 0.02

# Time-outs. A time-out that is too early costs most where a retry is not safe, hence the factors by retry
# safety. Without time-outs, calls that wait until their deadlines would fill the concurrency limit.

# Mean absolute deviations above the mean duration within which nearly all calls end. Fewer deviations free
# places in the limit sooner, but time out slow responses.
DURATION_DEVIATIONS = 8
# Deliveries that are measured before a bound is derived from their durations. Fewer give unreliable bounds;
# more prolong the use of the fallbacks: twice the bound over all destinations, or the latency objective.
MIN_DURATION_SAMPLES = 5
# Time-out of an attempt, as a multiple of the duration bound.
TIMEOUT_FACTOR = {RetrySafety.IDEMPOTENT: 1, RetrySafety.DEDUPLICATED: 2, RetrySafety.AT_MOST_ONCE: 4}
# Shortest duration bound that the factor is applied to. With a shorter one, a pause at the endpoint or the
# time to open a connection would cause time-outs.
MIN_TIMEOUT = 2 * SECOND

# Outages and slow start.

# Sum of the weights of consecutive failures that makes an outage, if no call succeeded for
# OUTAGE_DETECTION_TIME. Below one delivery per second a proportionally smaller sum suffices, but at least 1,
# or AMBIGUOUS_FAILURE_WEIGHT after an ambiguous failure. A larger sum detects outages later; a smaller one
# takes isolated failures for outages.
OUTAGE_FAILURES = 4
# Weight of an OVERLOADED outcome at a known rate limit with ample quota left; without ample quota the weight
# is 0.
RATE_LIMITED_FAILURE_WEIGHT = 0.25
# Weight of an ambiguous failure, which may have other causes than an outage. A larger weight takes isolated
# time-outs and full connection tables for outages; a smaller one detects outages later.
AMBIGUOUS_FAILURE_WEIGHT = 0.5
# Time without a success after which failures may make an outage, even where a rate limit might explain them.
# A Retry-After longer than this, with ample quota left, announces an outage. A larger value detects outages
# later; a smaller one takes short pauses for outages.
OUTAGE_DETECTION_TIME = 3 * SECOND // 2
# Time over which event rates are measured, and after which an inactive endpoint without calls is forgotten. A
# longer window is steadier; a shorter one follows changes sooner.
RATE_WINDOW = 10 * SECOND
# Lower bound of the rate that this sender expects of a destination that is down or recovering; without load
# reports, the mean rate of submissions per destination if that is less, but at least MIN_INITIAL_RATE. A
# higher bound sends more calls to destinations that are down.
MIN_EXPECTED_RATE = 0.2
# Assumed share of the messages submitted in an outage that are not resubmissions after a rejection.
NEW_SUBMISSION_SHARE = 0.5
# Share used of a listed rate, which may be half again as high as the real one. A larger share overloads a
# recovering destination; a smaller one slows its recovery down.
LISTED_RATE_SHARE = 2 / 3
# Share used of the load that the setting overload_multiple allows at a recovering destination. A larger share
# leaves no margin; a smaller one slows the recovery down.
SAFETY_FACTOR = 0.9
# Stands for a setting overload_multiple that is absent: the rate is unbounded in effect.
UNBOUNDED_OVERLOAD_MULTIPLE = 1_000_000

# Faults of this machine, such as a full descriptor table: calls pause, longer after each further fault.

# First pause, of which a random part of up to one half is left out. A shorter pause repeats calls while the
# table is still full; a longer one delays messages.
INITIAL_LOCAL_PAUSE = SECOND // 20
# Doublings of the pause, one for each further fault in a row. More delay messages after the fault has ended.
MAX_LOCAL_PAUSE_DOUBLINGS = 2

# Responses that come twice or late, see `response_trust`.

# Time for which a connection is idle before it carries its next request. A shorter one takes extra responses
# for those of the next request; a longer one delays attempts and opens more connections.
QUIET_TIME = 60 * MILLISECOND
# Time by which an extra response may follow the true one. A longer one makes more results provisional.
RESPONSE_LATENESS = 1 * SECOND
# Time for which a provisional delivery may still be put in doubt. A longer one keeps more messages in memory.
DELIVERY_DOUBT_TIME = 1 * SECOND
# Longest time for which a provisional refusal or error is withheld. A longer one delays retries.
MAX_HOLD_TIME = 250 * MILLISECOND
# Time for which each connection carries a single request after an extra response, and its upper bound, which
# is reached by doubling. A longer one costs connections; a shorter one trusts a faulty network again.
INITIAL_DISTRUST_TIME = 60 * SECOND
MAX_DISTRUST_TIME = 600 * SECOND

# Longest time for which a Retry-After binds whose response has no outcome. A longer one lets broken bytes
# keep a destination closed; a shorter one cuts long waits.
MAX_UNCONFIRMED_RETRY_AFTER = 300 * SECOND

# Rate limits. The even split of a destination's limit is the limit divided by the number of senders.

# Rate at which a gate starts once its rate limit is known, unless the even split is higher; without load
# reports also the lower bound after a success. The outcomes at all gates adapt the rate between the two
# bounds. A higher rate or bound wastes calls on small limits, which reject them.
INITIAL_RATE = 0.4
MIN_INITIAL_RATE = 0.01
MAX_INITIAL_RATE = 1.0
# Factor of the initial rate at an OVERLOADED outcome that the rate limit explains.
INITIAL_RATE_DECREASE_FACTOR = 0.6
# Factor of the initial rate at a success with half of the limit left; its square if all is left.
INITIAL_RATE_INCREASE_FACTOR = 1.08
# Factor of the rate at a burst of OVERLOADED outcomes. A lower one leaves more of the limit unused.
RATE_DECREASE_FACTOR = 0.8
# Factor of the rate at the next burst if no call succeeded in between, as an exceeded limit may reject all
# calls.
REPEATED_RATE_DECREASE_FACTOR = 0.5
# Largest step of the rate at a success, in calls per second. The step is multiplied by the remaining quota
# less TARGET_REMAINING_QUOTA, which may be negative. Below the even split the step is at most the rate.
MAX_RATE_STEP = 0.4
# Largest step from the even split on, as a share of the even split. A larger one exceeds the limit, as all
# senders increase their rates at once.
EVEN_SPLIT_STEP_SHARE = 0.2
# Share of the limit that stays unused in equilibrium. A larger share wastes the limit; a smaller one causes
# OVERLOADED outcomes.
TARGET_REMAINING_QUOTA = 0.25
# Share of the even split below which the rate does not fall: the other senders cannot use the whole limit for
# long.
MIN_EVEN_SPLIT_SHARE = 0.5
# Time constant with which earlier load reports lose weight; without load reports, that with which the
# estimated quota recovers after a rejection. A longer one is steadier; a shorter one follows changes sooner.
REPORT_WINDOW = 2 * SECOND
# Size of a burst in seconds of the remaining limit, before its division by the square root of the number of
# senders. A larger burst exceeds the limit.
BURST_SECONDS = 0.3
# Remaining share of the limit from which an OVERLOADED outcome points to an outage rather than to the limit.
# Without load reports the quota always counts as ample.
AMPLE_QUOTA = 0.5

# Queues, polls and ranking.

# Doublings of the pause between failed polls of the endpoint list, which is one second without a doubling and
# never longer than the poll interval.
MAX_POLL_DOUBLINGS = 10
# The delay of a poll is drawn at random between this share of the pause and all of it.
MIN_POLL_DELAY_SHARE = 0.5
# Interval between two rankings of the endpoints. With a longer one, failing endpoints keep their rank longer.
RANKING_INTERVAL = 1 * SECOND
# Share of the latency objective for which a call waits for a full batch. A larger share saves calls and
# leaves less time for the delivery.
BATCHING_SHARE = 0.5
# Share of the queue capacity above which late messages are dropped. A smaller share drops more late messages;
# a larger one rejects more new messages.
SHEDDING_QUEUE_SHARE = 0.9
# Number of messages, those late for longest, among which the least valuable is dropped.
SHEDDING_CANDIDATES = 8
# Shortest Retry-After of a rejection, unless the setting max_retry_after is shorter.
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
