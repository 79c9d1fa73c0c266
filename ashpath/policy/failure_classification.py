"""Decides which failures are signs of load, where this differs from the table of ADR 0122.

docs/design.md has each case.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ashpath.core.interface import AttemptOutcome, PolicySettings
from ashpath.core.messages import Attempt
from ashpath.policy import tuning

if TYPE_CHECKING:
    from ashpath.policy.gate import Gate


def is_connection_table_full(settings: PolicySettings, outcome: AttemptOutcome, duration: int) -> bool:
    """Returns whether the endpoint's connection table was full.

    Without a report of full tables, a connection refused within half of the connect timeout counts as one,
    although the endpoint may be down. `duration` is in microseconds.
    """
    if outcome is AttemptOutcome.CONNECT_FAILED and not settings.reports_full_connection_table:
        return 2 * duration < settings.connect_timeout
    return outcome is AttemptOutcome.CONNECTION_TABLE_FULL


def was_overtaken(attempt: Attempt) -> bool:
    """Returns whether later calls at the endpoint succeeded fast meanwhile.

    The attempt's connection may then be dead, and the endpoint does not process the call.
    """
    return attempt.endpoint.fast_successes > attempt.expected_fast_successes + tuning.OVERTAKING_SUCCESSES


def has_ample_quota(gate: Gate) -> bool:
    """Returns whether the rate limit of the gate does not explain a rejection."""
    return gate.rate_limit.remaining_quota >= tuning.AMPLE_QUOTA or not gate.state.settings.has_load_reports


def announces_outage(gate: Gate) -> bool:
    """Returns whether the Retry-After in force announces an outage, with the same end for all senders.

    A rate limit with ample quota does not explain so long a wait.
    """
    return has_ample_quota(gate) and gate.retry_after_until - gate.state.now > tuning.OUTAGE_DETECTION_TIME


def record_failure(gate: Gate, attempt: Attempt, outcome: AttemptOutcome, duration: int) -> bool:
    """Counts a failure, detects outages, and returns whether the failure is unrelated to load.

    ADR 0122's table takes every such failure for a sign of load. `duration` is in microseconds.
    """
    settings = gate.state.settings
    outage = gate.outage
    if outcome is AttemptOutcome.OVERLOADED and not settings.has_load_reports:
        gate.rate_limit.refused_without_report(outage.completions.rate())
    rate_limited = outcome is AttemptOutcome.OVERLOADED and gate.rate_limit.reported_limit > 0
    found_full_table = is_connection_table_full(settings, outcome, duration)
    ambiguous = found_full_table or outcome in (AttemptOutcome.OVERLOADED, AttemptOutcome.TIMED_OUT)
    if rate_limited:
        outage.failures += tuning.RATE_LIMITED_FAILURE_WEIGHT * has_ample_quota(gate)
    else:
        outage.failures += tuning.AMBIGUOUS_FAILURE_WEIGHT if ambiguous else 1
    failure_run = outage.is_failure_run(
        ambiguous=ambiguous, min_failures=_min_failure_run(gate, outcome) if ambiguous else 1.0
    )
    outage_announced = announces_outage(gate)
    if outage_announced or (failure_run and not outage.down):
        outage.begin(max(gate.state.now, gate.retry_after_until))
        gate.report_mode_change(f"ailing: {outage.failures:.1f} failures, last {outcome.value}")
    if rate_limited and not failure_run and not outage_announced:  # the rate limit explains the failure
        gate.rate_limit.decrease(attempt.started_at, outage.succeeded_at)
        return True
    if outcome in (AttemptOutcome.ERROR, AttemptOutcome.CONNECTION_RESET):
        # An error among successes is no sign of load.
        return gate.error_share.add(gate.state.now) < tuning.OVERLOAD_ERROR_SHARE and not failure_run
    return outcome is AttemptOutcome.TIMED_OUT and (duration < attempt.timeout or was_overtaken(attempt))


def _min_failure_run(gate: Gate, outcome: AttemptOutcome) -> float:
    # Returns the least weight of consecutive failures that makes an outage after an ambiguous one. A sender
    # that calls seldom sees a second failure too late, and the retries of many such senders overload the
    # destination: one ambiguous failure suffices. Where full connection tables are frequent, one suffices
    # only if it is a failed connection.
    tables_full = max(gate.state.full_table_shares) > tuning.MAX_FULL_TABLE_SHARE
    explained_by_full_tables = tables_full and outcome is not AttemptOutcome.CONNECT_FAILED
    return 1.0 if explained_by_full_tables else tuning.AMBIGUOUS_FAILURE_WEIGHT
