"""The rule checker of a soak run reports each broken rule, and nothing for permitted behavior."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ashpath.emulator.soak.judge import RETRY_AFTER_SLACK_S, RuleChecker, RuleCheckerSettings
from ashpath.emulator.soak.records import (
    Call,
    ClientFault,
    Departure,
    DiskFault,
    Effect,
    Incarnation,
    LatePath,
    NetworkFault,
    NoticeFault,
    Outage,
    Reply,
    RetryAfterRecord,
    SoakRecords,
    Submission,
)

SETTINGS = RuleCheckerSettings(
    grace_s=0.25, window_s=5.0, overload_s=1.0, cold_rate=2.0, overload_multiple=2.0, disk_bytes=1 << 20
)


def submission(
    message_id: str, effect: Effect = Effect.REPEATABLE, key: str = "", at: float = 1.0
) -> Submission:
    return Submission(message_id, 0, effect, 1, key, at, at + 8.0, 202, at + 0.01, True, True)


def call(message_id: str, at: float, reply: Reply = Reply.DELIVERED) -> Call:
    return Call(message_id, 0, "e1", 1, at, reply, at + 0.05)


def ask_for_wait(records: SoakRecords, at: float, endpoint: str = "e1") -> None:
    """An endpoint refuses a call and asks for a wait of two seconds; others are called again after it."""
    add(records, call("x", at, Reply.OVERLOADED), call("x", at + 3.4))
    records.retry_afters.append(RetryAfterRecord(0, endpoint, 1, at + 0.05, 2.0))


def valid_records() -> SoakRecords:
    """One message per traffic class is delivered; one is given up and notified."""
    records = SoakRecords(ended_at=60.0, incarnations=[Incarnation(0, 0.0, 0.3)])
    records.most_disk_bytes = {0: SETTINGS.disk_bytes}
    records.most_resident_bytes = records.memory_bytes = {0: 64_000_000}
    for number, effect in enumerate(Effect):
        records.submissions[f"m{number}"] = submission(f"m{number}", effect)
        records.calls.append(call(f"m{number}", 1.1 + number))
    records.submissions["given up"] = submission("given up")
    records.submissions["given up"].deadline_at = 3.0
    records.notices["given up"] = 2.9
    return records


def add(records: SoakRecords, *calls: Call, effect: Effect = Effect.REPEATABLE, key: str = "") -> None:
    for one in calls:
        at = one.begun_at - 0.1
        records.submissions.setdefault(one.message_id, submission(one.message_id, effect, key, at))
        records.calls.append(one)


def never_ended(records: SoakRecords) -> None:
    del records.notices["given up"]


def ended_late(records: SoakRecords) -> None:
    records.notices["given up"] = 3.4


def closed_unanswered(records: SoakRecords) -> None:
    records.submissions["given up"].closed_unanswered = True


def closed_unanswered_at(records: SoakRecords, answered_at: float) -> None:
    """A request that ends at `answered_at` without a response; a proxy closed connections from 2.0 to 2.5."""
    records.client_faults.append(ClientFault(0, 2.0, 2.5))
    records.submissions["given up"].sent_at = 1.9
    records.submissions["given up"].answered_at = answered_at
    closed_unanswered(records)


def closed_unanswered_before_client_fault(records: SoakRecords) -> None:
    closed_unanswered_at(records, 1.99)


def closed_unanswered_after_client_fault(records: SoakRecords) -> None:
    closed_unanswered_at(records, 2.61)


def closed_unanswered_at_other_sender(records: SoakRecords) -> None:
    closed_unanswered_at(records, 2.2)
    records.client_faults[:] = [ClientFault(1, 2.0, 2.5)]


def notified_at(records: SoakRecords, at: float, sender: int = 0) -> None:
    """A message due at 3.31 is notified at `at`; its sender's notices fail from 2.8 to 3.3."""
    del records.notices["given up"]
    records.notice_faults.append(NoticeFault(sender, 2.8, 3.3, False))
    records.record_notice(0, "given up", at)


def notified_too_late_after_notice_fault(records: SoakRecords) -> None:
    notified_at(records, 3.71)


def notified_late_during_notice_fault_of_other_sender(records: SoakRecords) -> None:
    notified_at(records, 3.32, sender=1)


def notified_late_after_ended_notice_fault(records: SoakRecords) -> None:
    ended_late(records)
    records.notice_faults.append(NoticeFault(0, 2.0, 2.89, False))


def notified_late_before_notice_fault(records: SoakRecords) -> None:
    ended_late(records)
    records.notice_faults.append(NoticeFault(0, 3.32, 4.0, False))


def processes_over_limit(records: SoakRecords) -> None:
    records.most_resident_bytes = {0: records.memory_bytes[0] + 1}


def directory_over_limit(records: SoakRecords) -> None:
    records.most_disk_bytes = {0: SETTINGS.disk_bytes + 512}


def never_acknowledged(records: SoakRecords) -> None:
    del records.notices["given up"]
    records.notice_faults.append(NoticeFault(0, 2.8, 3.3, True))
    records.record_notice(0, "given up", 2.9)


def notified_at_with_restart_after_notice_fault(records: SoakRecords, at: float) -> None:
    notified_at(records, at)
    records.incarnations = [Incarnation(0, 0.0, 0.3, 3.6, 3.6), Incarnation(0, 4.0, 4.5)]


def notified_too_late_after_notice_fault_and_restart(records: SoakRecords) -> None:
    notified_at_with_restart_after_notice_fault(records, 6.31)


def upgraded(records: SoakRecords, *, killed: bool = True) -> None:
    """A hot upgrade; the old process exits at 3.0."""
    killed_at = 3.0 if killed else 1e18
    old = Incarnation(0, 0.0, 0.3, 3.0 if killed else 1.0, killed_at, 3.0, hands_over=True)
    records.incarnations = [old, Incarnation(0, 0.5, 0.8)]


def notified_too_late_after_upgrade(records: SoakRecords) -> None:
    upgraded(records)
    records.notices["given up"] = 3.81


def notified_late_before_exit_of_upgraded_process(records: SoakRecords) -> None:
    ended_late(records)
    upgraded(records)
    records.incarnations[0].exited_at = records.incarnations[0].killed_at = 3.32


def upgraded_with_disk_fault(records: SoakRecords, at: float, sender: int = 0, ended_at: float = 3.4) -> None:
    """The adopter cannot write until `ended_at`; the message is notified at `at`."""
    upgraded(records)
    records.disk_faults.append(DiskFault(sender, 2.9, ended_at))
    records.notices["given up"] = at


def notified_too_late_after_disk_fault_of_adopter(records: SoakRecords) -> None:
    upgraded_with_disk_fault(records, 4.21)


def notified_late_during_disk_fault_of_other_sender(records: SoakRecords) -> None:
    upgraded_with_disk_fault(records, 3.81, sender=1)


def notified_late_after_early_disk_fault(records: SoakRecords) -> None:
    upgraded_with_disk_fault(records, 3.81, ended_at=2.99)


def notified_late_during_disk_fault_without_upgrade(records: SoakRecords) -> None:
    upgraded_with_disk_fault(records, 3.32)
    records.incarnations = [Incarnation(0, 0.0, 0.3)]


def notified_too_late_after_slow_response(records: SoakRecords) -> None:
    records.submissions["given up"].answered_at += 0.2
    records.notices["given up"] = 3.52


def notified_too_late_after_slow_response_on_kept_connection(records: SoakRecords) -> None:
    records.submissions["given up"].answered_at += 0.2
    records.submissions["given up"].connection_is_new = False
    records.notices["given up"] = 3.31


def closed_unanswered_at_upgrade(records: SoakRecords, sent_at: float, answered_at: float) -> None:
    records.submissions["given up"].sent_at = sent_at
    records.submissions["given up"].answered_at = answered_at
    closed_unanswered(records)


def closed_unanswered_during_graceful_upgrade(records: SoakRecords) -> None:
    upgraded(records, killed=False)
    closed_unanswered_at_upgrade(records, 0.9, 1.05)


def closed_unanswered_before_kill_of_upgraded_process(records: SoakRecords) -> None:
    upgraded(records)
    closed_unanswered_at_upgrade(records, 2.8, 2.99)


def closed_unanswered_after_kill_of_upgraded_process(records: SoakRecords) -> None:
    upgraded(records)
    closed_unanswered_at_upgrade(records, 2.9, 3.11)


def request_sent_after_kill_of_upgraded_process(records: SoakRecords) -> None:
    upgraded(records)
    closed_unanswered_at_upgrade(records, 3.01, 3.05)


def called_before_retry_after_of_killed_upgraded_process(records: SoakRecords) -> None:
    upgraded(records)
    ask_for_wait(records, 2.8)
    add(records, call("y", 3.9))


def run_twice(records: SoakRecords) -> None:
    add(records, call("x", 4.0, Reply.RESET), call("x", 5.0), effect=Effect.AT_MOST_ONCE)


def repeated_after_deduplication_window(records: SoakRecords) -> None:
    add(records, call("x", 4.0, Reply.RESET), call("x", 9.5), effect=Effect.DEDUPLICATED)


def called_twice_at_once(records: SoakRecords) -> None:
    add(records, call("x", 4.0), call("x", 3.5))
    records.calls[-1].ended_at = 5.0


def called_without_submission(records: SoakRecords) -> None:
    records.calls.append(call("not submitted", 4.0))


def called_after_drain_grace(records: SoakRecords) -> None:
    records.departures.append(Departure(0, "e1", 4.0))
    add(records, call("x", 4.6))


def overloaded_after_outage(records: SoakRecords) -> None:
    records.outages.append(Outage(1, 2.0, 10.0))
    add(records, *(call(f"x{number}", 10.0 + number / 50) for number in range(14)))


def called_out_of_order(records: SoakRecords) -> None:
    add(records, call("first", 6.0), call("second", 7.0), effect=Effect.DEDUPLICATED, key="k")
    records.calls[-2].begun_at, records.calls[-2].ended_at = 8.0, 8.1


def called_before_retry_after(records: SoakRecords) -> None:
    ask_for_wait(records, 4.0)
    add(records, call("y", 5.0))


def called_during_wait_that_another_endpoint_asked_for(records: SoakRecords) -> None:
    ask_for_wait(records, 4.0, "e2")
    add(records, call("y", 5.0))


def called_just_after_slack_of_retry_after(records: SoakRecords) -> None:
    ask_for_wait(records, 4.0)
    add(records, call("y", 4.05 + RETRY_AFTER_SLACK_S + 0.01))


def called_during_wait_outside_late_path(records: SoakRecords) -> None:
    called_before_retry_after(records)  # the wait begins at 4.05, the call at 5.0
    records.late_paths += [LatePath(1, 3.0, 4.0, 0.9), LatePath(1, 3.0, 4.9, 0.5), LatePath(2, 3.0, 4.9, 0.9)]


def called_during_wait_outside_receive_fault(records: SoakRecords) -> None:
    called_before_retry_after(records)
    records.network_faults.append(NetworkFault(0, 4.3, 4.5, loses_data=True))
    records.network_faults.append(NetworkFault(0, 4.0, 4.5))  # of connects


def ended_unexpectedly(records: SoakRecords) -> None:
    records.crashes.append("sender 0 ended unexpectedly with exit code 1")


def never_ready(records: SoakRecords) -> None:
    records.incarnations.append(Incarnation(0, 20.0))


BREAKS: dict[str, tuple[Callable[[SoakRecords], None], ...]] = {
    "lost": (
        never_ended,
        ended_late,
        closed_unanswered,
        closed_unanswered_before_client_fault,
        closed_unanswered_after_client_fault,
        closed_unanswered_at_other_sender,
        notified_too_late_after_notice_fault,
        notified_late_during_notice_fault_of_other_sender,
        notified_late_after_ended_notice_fault,
        notified_late_before_notice_fault,
        never_acknowledged,
        notified_too_late_after_notice_fault_and_restart,
        notified_too_late_after_upgrade,
        notified_late_before_exit_of_upgraded_process,
        notified_too_late_after_disk_fault_of_adopter,
        notified_late_during_disk_fault_of_other_sender,
        notified_late_after_early_disk_fault,
        notified_late_during_disk_fault_without_upgrade,
        notified_too_late_after_slow_response,
        notified_too_late_after_slow_response_on_kept_connection,
        closed_unanswered_during_graceful_upgrade,
        closed_unanswered_before_kill_of_upgraded_process,
        closed_unanswered_after_kill_of_upgraded_process,
        request_sent_after_kill_of_upgraded_process,
    ),
    "doubled": (
        run_twice,
        repeated_after_deduplication_window,
        called_twice_at_once,
        called_without_submission,
    ),
    "drain": (called_after_drain_grace,),
    "returning": (overloaded_after_outage,),
    "order": (called_out_of_order,),
    "wait": (
        called_before_retry_after,
        called_before_retry_after_of_killed_upgraded_process,
        called_during_wait_that_another_endpoint_asked_for,
        called_just_after_slack_of_retry_after,
        called_during_wait_outside_receive_fault,
        called_during_wait_outside_late_path,
    ),
    "crash": (ended_unexpectedly, never_ready),
    "memory": (processes_over_limit,),
    "disk": (directory_over_limit,),
}


def rules(records: SoakRecords) -> set[str]:
    return {broken.rule for broken in RuleChecker(records, SETTINGS).broken_rules()}


def test_valid_records_break_no_rule() -> None:
    assert rules(valid_records()) == set()


@pytest.mark.parametrize(
    ("rule", "break_it"), [(rule, one) for rule, breaks in BREAKS.items() for one in breaks]
)
def test_each_broken_rule_is_reported(rule: str, break_it: Callable[[SoakRecords], None]) -> None:
    records = valid_records()
    break_it(records)
    assert rules(records) == {rule}


def late_outcome_during_restart(records: SoakRecords) -> None:
    ended_late(records)
    records.incarnations = [Incarnation(0, 0.0, 0.3, 2.5, 2.5), Incarnation(0, 3.0, 3.2)]


def late_outcome_during_network_fault(records: SoakRecords) -> None:
    ended_late(records)
    records.network_faults.append(NetworkFault(0, 2.8, 3.3))


def repeated_within_deduplication_window(records: SoakRecords) -> None:
    add(records, call("x", 4.0, Reply.RESET), call("x", 8.5), effect=Effect.DEDUPLICATED)


def repeated_after_refusal(records: SoakRecords) -> None:
    add(records, call("x", 4.0, Reply.REFUSED), call("x", 5.0), effect=Effect.AT_MOST_ONCE)


def called_within_drain_grace(records: SoakRecords) -> None:
    records.departures.append(Departure(0, "e1", 4.0))
    add(records, call("x", 4.2))


def request_unanswered_during_shutdown(records: SoakRecords) -> None:
    closed_unanswered(records)
    records.incarnations = [Incarnation(0, 0.0, 0.3, 1.2, 1.2), Incarnation(0, 1.5, 1.7)]


def request_closed_by_proxy(records: SoakRecords) -> None:
    closed_unanswered_at(records, 2.0)


def request_observed_closed_soon_after_proxy_fault(records: SoakRecords) -> None:
    closed_unanswered_at(records, 2.59)


def notified_soon_after_notice_fault(records: SoakRecords) -> None:
    notified_at(records, 3.69)


def notified_again_after_cut_acknowledgement(records: SoakRecords) -> None:
    never_acknowledged(records)
    records.record_notice(0, "given up", 3.6)


def notified_after_notice_fault_and_restart(records: SoakRecords) -> None:
    notified_at_with_restart_after_notice_fault(records, 6.2)


def notified_soon_after_exit_of_upgraded_process(records: SoakRecords) -> None:
    upgraded(records)
    records.notices["given up"] = 3.79


def notified_soon_after_disk_fault_of_adopter(records: SoakRecords) -> None:
    upgraded_with_disk_fault(records, 4.19)


def notified_in_time_after_slow_response(records: SoakRecords) -> None:
    records.submissions["given up"].answered_at += 0.2
    records.notices["given up"] = 3.5


def request_in_flight_at_kill_of_upgraded_process(records: SoakRecords) -> None:
    upgraded(records)
    closed_unanswered_at_upgrade(records, 2.9, 3.05)


def called_before_retry_after_from_before_restart(records: SoakRecords) -> None:
    records.incarnations = [Incarnation(0, 0.0, 0.3, 3.0, 3.0), Incarnation(0, 3.6, 3.8)]
    ask_for_wait(records, 2.8)
    add(records, call("y", 3.9))


def called_during_wait_that_was_reset(records: SoakRecords) -> None:
    called_before_retry_after(records)
    records.retry_afters[0].lost = True


def called_before_wait_on_late_path(records: SoakRecords) -> None:
    called_before_retry_after(records)
    records.late_paths.append(LatePath(1, 3.0, 4.2, 0.9))


def called_during_wait_that_could_not_be_received(records: SoakRecords) -> None:
    called_before_retry_after(records)
    records.network_faults.append(NetworkFault(0, 4.2, 4.5, loses_data=True))


def called_within_slack_of_retry_after(records: SoakRecords) -> None:
    ask_for_wait(records, 4.0)
    add(records, call("y", 4.05 + RETRY_AFTER_SLACK_S - 0.01), call("z", 6.05 - RETRY_AFTER_SLACK_S + 0.01))


@pytest.mark.parametrize(
    "allowed",
    [
        called_during_wait_that_was_reset,
        called_before_wait_on_late_path,
        called_during_wait_that_could_not_be_received,
        called_within_slack_of_retry_after,
        late_outcome_during_restart,
        late_outcome_during_network_fault,
        repeated_within_deduplication_window,
        repeated_after_refusal,
        called_within_drain_grace,
        request_unanswered_during_shutdown,
        request_closed_by_proxy,
        request_observed_closed_soon_after_proxy_fault,
        notified_soon_after_notice_fault,
        notified_again_after_cut_acknowledgement,
        notified_after_notice_fault_and_restart,
        notified_soon_after_exit_of_upgraded_process,
        request_in_flight_at_kill_of_upgraded_process,
        notified_soon_after_disk_fault_of_adopter,
        notified_in_time_after_slow_response,
        called_before_retry_after_from_before_restart,
    ],
)
def test_permitted_behavior_is_not_reported(allowed: Callable[[SoakRecords], None]) -> None:
    records = valid_records()
    allowed(records)
    assert rules(records) == set()
