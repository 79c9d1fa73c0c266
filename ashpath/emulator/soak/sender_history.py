"""What happened to the processes and paths of each sender in a run, and what the rules excuse for it.

No message is overdue from the end of an incarnation until 1.5 s after the next incarnation is ready, and from
the begin of a fault of its sender's network or notices until 0.4 s after its end. A notice counts once it is
acknowledged.

The two processes of a hot upgrade are one sender, which serves without a break. Only a SIGKILL of the first
one excuses a request without a response, if it was in flight just then. A message that the first process has
at its exit is not overdue until 0.5 s after it, or after a fault of the second one's disk.

A deadline counts from when the sender reads the request, at the latest from the response: a new connection
may wait to be accepted, or its bytes may be late.
"""

from __future__ import annotations

from collections.abc import Iterator

from ashpath.emulator.soak.records import (
    Call,
    Incarnation,
    NetworkFault,
    NoticeFault,
    SoakRecords,
    Submission,
)

END_SLACK_S = 0.3
RESTART_SLACK_S = 1.5
NOTICE_RETRY_S = 0.4
SHUTDOWN_MARGIN_S = 0.5  # connections may be reset within this time before an incarnation ends
CLIENT_FAULT_SLACK_S = 0.1  # until a client observes the reset that ends a fault of its path
RECEIVE_MARGIN_S = 0.2  # until data is received
ADOPTION_S = 0.5  # until the messages of a process that handed over are adopted


class SenderHistory:
    """The restarts, hot upgrades and faults of all senders, from the records of a run."""

    def __init__(self, records: SoakRecords) -> None:
        self.records = records

    def due_at(self, submission: Submission) -> float:
        """Returns the latest time at which the message must have a final outcome."""
        due = submission.deadline_at + END_SLACK_S
        if submission.connection_is_new:  # the sender counts from when it reads the request
            due += submission.answered_at - submission.sent_at
        while (extended := self.extended_due(submission.sender, due)) > due:
            due = extended
        return due

    def extended_due(self, sender: int, due: float) -> float:
        """Returns the due time, extended by each restart and fault of the sender that it falls into."""
        for incarnation, following in self.incarnations(sender):
            if incarnation.hands_over:
                if incarnation.exited_at <= due:
                    due = max(due, self.adopted_by(incarnation) + END_SLACK_S)
            elif incarnation.end_began_at <= due:
                ready_at = following.ready_at if following is not None else 0.0
                due = max(due, (ready_at or 1e18) + RESTART_SLACK_S + END_SLACK_S)
        faults: list[NetworkFault | NoticeFault] = [*self.records.network_faults, *self.records.notice_faults]
        for fault in sorted(faults, key=lambda fault: fault.began_at):
            # A sender that cannot connect cannot notify: its next attempt follows the end of the fault.
            if fault.sender == sender and fault.began_at <= due <= fault.ended_at + NOTICE_RETRY_S:
                due = fault.ended_at + NOTICE_RETRY_S
        return due

    def adopted_by(self, incarnation: Incarnation) -> float:
        """Returns when the other process of a hot upgrade has the messages of the one that exited."""
        adopted_by = incarnation.exited_at + ADOPTION_S
        for fault in sorted(self.records.disk_faults, key=lambda fault: fault.began_at):
            # Nothing is adopted while the adopter cannot write; it tries again.
            if (
                fault.sender == incarnation.sender
                and fault.began_at <= adopted_by <= fault.ended_at + ADOPTION_S
            ):
                adopted_by = fault.ended_at + ADOPTION_S
        return adopted_by

    def incarnations(self, sender: int) -> Iterator[tuple[Incarnation, Incarnation | None]]:
        """Yields each incarnation of a sender with the next one, or None for the last."""
        incarnations = [
            incarnation for incarnation in self.records.incarnations if incarnation.sender == sender
        ]
        for number, incarnation in enumerate(incarnations):
            yield incarnation, incarnations[number + 1] if number + 1 < len(incarnations) else None

    def overlaps_shutdown(self, submission: Submission) -> bool:
        """Whether the sender's process ended, or was not ready, while the request was in flight."""
        return not any(
            ready_at <= submission.sent_at and submission.answered_at < end_began_at - SHUTDOWN_MARGIN_S
            for ready_at, end_began_at in self.serving_periods(submission.sender)
        )

    def serving_periods(self, sender: int) -> Iterator[tuple[float, float]]:
        """Yields when a sender was ready, and when its end began; a hot upgrade ends no period."""
        ready_at = 0.0
        for incarnation, _ in self.incarnations(sender):
            ready_at = ready_at or incarnation.ready_at
            if ready_at and not incarnation.hands_over:
                yield ready_at, incarnation.end_began_at
                ready_at = 0.0

    def was_closed_by_proxy(self, submission: Submission) -> bool:
        """Whether a proxy between the client and the sender closed connections when this one ended."""
        return any(
            fault.sender == submission.sender
            and fault.began_at <= submission.answered_at <= fault.ended_at + CLIENT_FAULT_SLACK_S
            for fault in self.records.client_faults
        )

    def was_closed_by_kill(self, submission: Submission) -> bool:
        """Whether the request was in flight at the SIGKILL of a process that handed over."""
        return any(
            incarnation.sender == submission.sender
            and incarnation.hands_over
            and submission.sent_at <= incarnation.killed_at <= submission.answered_at
            and submission.answered_at <= incarnation.killed_at + CLIENT_FAULT_SLACK_S
            for incarnation in self.records.incarnations
        )

    def was_killed_between(self, earlier: Call, later: Call) -> bool:
        """Whether the sender's process was killed between two calls, which closes its connections."""
        return any(
            incarnation.sender == earlier.sender
            and earlier.begun_at <= incarnation.killed_at <= later.begun_at
            for incarnation in self.records.incarnations
        )

    def was_restarted_within(self, began_at: float, call: Call) -> bool:
        """Whether the sender was killed since `began_at`, without another process that kept its state."""
        return any(
            incarnation.sender == call.sender
            and not incarnation.hands_over
            and began_at <= incarnation.killed_at <= call.begun_at
            for incarnation in self.records.incarnations
        )

    def sent_by(self, call: Call) -> float:
        """Returns the earliest time at which the sender may have sent the call: a proxy that held its
        connection back forwards it late."""
        late_s = (
            path.late_s
            for path in self.records.late_paths
            if path.destination == call.destination
            and path.began_at <= call.begun_at - path.late_s <= path.ended_at
        )
        return call.begun_at - max(late_s, default=0.0)

    def may_have_lost_data(self, sender: int, written_at: float) -> bool:
        """Whether calls that receive failed in the sender's process as, or just after, data was written."""
        return any(
            fault.sender == sender
            and fault.loses_data
            and fault.began_at - RECEIVE_MARGIN_S <= written_at <= fault.ended_at
            for fault in self.records.network_faults
        )
