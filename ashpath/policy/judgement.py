"""What an outcome says of load, where it differs from ADR 0122's table: docs/design.md has each case."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ashpath.core.interface import AttemptOutcome, PolicySettings
from ashpath.core.messages import Attempt
from ashpath.policy import tuning

if TYPE_CHECKING:
    from ashpath.policy.gate import Gate


def is_connection_table_full(settings: PolicySettings, outcome: AttemptOutcome, duration: int) -> bool:
    """Full of connections, or down where a full table is not reported."""
    if outcome is AttemptOutcome.CONNECT_FAILED and not settings.reports_full_connection_table:
        return 2 * duration < settings.connect_timeout
    return outcome is AttemptOutcome.CONNECTION_TABLE_FULL


def was_overtaken(attempt: Attempt) -> bool:
    """Its connection may be dead: the endpoint works on nothing."""
    return attempt.endpoint.fast_successes > attempt.successes_mark + tuning.OVERTAKING_SUCCESSES


def record_failure(gate: Gate, attempt: Attempt, outcome: AttemptOutcome, duration: int) -> bool:
    """Whether a failure says nothing of load, though the table takes it for a sign; notices outages, too."""
    settings = gate.state.settings
    outage = gate.outage
    if outcome is AttemptOutcome.OVERLOADED and not settings.has_load_reports:
        gate.rate_limit.refused_without_report(outage.completions.rate())
    rate_limited = outcome is AttemptOutcome.OVERLOADED and gate.rate_limit.reported > 0
    found_full_table = is_connection_table_full(settings, outcome, duration)
    ambiguous = found_full_table or outcome in (AttemptOutcome.OVERLOADED, AttemptOutcome.TIMED_OUT)
    ample_quota = gate.rate_limit.remaining_quota >= tuning.AMPLE_QUOTA or not settings.has_load_reports
    if rate_limited:
        outage.failures += tuning.RATE_LIMITED_FAILURE_WEIGHT * ample_quota
    else:
        outage.failures += tuning.AMBIGUOUS_FAILURE_WEIGHT if ambiguous else 1
    failure_run = outage.is_failure_run(
        ambiguous=ambiguous, min_failures=_min_failure_run(gate, outcome) if ambiguous else 1.0
    )
    # So long a wait with ample quota is no limit's: an outage is announced, and all are told the same end.
    outage_announced = ample_quota and gate.retry_after_until - gate.state.now > tuning.OUTAGE_DETECTION_TIME
    if outage_announced or (failure_run and not outage.down):
        outage.begin(max(gate.state.now, gate.retry_after_until))
        gate.log(f"ailing: {outage.failures:.1f} failures, last {outcome.value}")
    if rate_limited and not failure_run and not outage_announced:  # the rate explains it
        gate.rate_limit.decrease(attempt.started_at, outage.succeeded_at)
        return True
    if outcome in (AttemptOutcome.ERROR, AttemptOutcome.CONNECTION_RESET):
        return (
            gate.errors.add(gate.state.now) < tuning.OVERLOAD_ERROR_SHARE and not failure_run
        )  # one among successes is no load
    return outcome is AttemptOutcome.TIMED_OUT and (duration < attempt.timeout or was_overtaken(attempt))


def _min_failure_run(gate: Gate, outcome: AttemptOutcome) -> float:
    # Who calls seldom sees a second failure too late: of many such, each one's retry is a push.
    tables_full = max(gate.state.full_table_shares) > tuning.MAX_FULL_TABLE_SHARE
    explained_by_full_tables = tables_full and outcome is not AttemptOutcome.CONNECT_FAILED
    return 1.0 if explained_by_full_tables else tuning.AMBIGUOUS_FAILURE_WEIGHT
