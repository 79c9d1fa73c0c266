"""Acts as a sender does on a write-ahead log, and keeps what its clients and endpoints have seen."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from pathlib import Path
from random import Random

from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from support.failing_disk import FOR_GOOD

MAX_LOG_BYTES = 64 << 10
EARLIER_MESSAGES = 6  # in the log that the process starts on
BODY = b"x" * 400
IDEMPOTENT, AT_MOST_ONCE = range(2)  # ids of the traffic classes
PERIOD = 40  # messages until their sequence of attempts repeats
UNTRIED = 19  # number within a period of the message without an attempt
IN_FLIGHT = Counter({14: 2, 15: 2, 17: 1, 18: 1})  # the attempt kept in flight, by number within a period


class SenderHarness:
    """What clients and endpoints have seen of all processes."""

    def __init__(self) -> None:
        self.accepted: set[str] = set()
        self.ended: set[str] = set()
        """Messages with a final outcome."""
        self.runs: Counter[str] = Counter()
        """Attempts that endpoints have received, by trace id."""
        self.first_run_at: dict[str, int] = {}
        """Start of the first attempt that has run or may have run, by trace id."""
        self.now = 0


class Process:
    """Accepts and delivers messages with one log, as a sender does."""

    def __init__(self, log: WriteAheadLog, harness: SenderHarness) -> None:
        self.log = log
        self.harness = harness

    def accept(self, number: int) -> None:
        """Submits and delivers one message; of a period, one stays untried and four stay in flight."""
        traffic_class = number % 2
        message = StoredMessage(
            self.log.messages.last_id + 1, f"t{number}", traffic_class, 1, None, None, 2**60, BODY
        )
        if not self.log.record_submitted(message):
            return
        self.harness.accepted.add(message.trace_id)
        if number % PERIOD != UNTRIED:
            self.deliver(
                message, may_have_run=number % 3 == 0, attempt_kept_in_flight=IN_FLIGHT[number % PERIOD]
            )

    def deliver(self, message: StoredMessage, *, may_have_run: bool, attempt_kept_in_flight: int) -> None:
        """Makes an attempt that fails, another one if the class allows, and finishes the message."""
        if not self.attempt(message) or attempt_kept_in_flight == 1:
            return
        self.log.record_outcome(message, may_have_run=may_have_run)
        if not may_have_run:
            del self.harness.first_run_at[message.trace_id]
        if may_be_sent(message):
            if not self.attempt(message) or attempt_kept_in_flight == 2:
                return
            self.log.record_finished(message)
        else:
            self.log.record_finished(message, f"failed {message.trace_id}")
            self.log.record_finished(message)
        self.harness.ended.add(message.trace_id)

    def attempt(self, message: StoredMessage) -> bool:
        """Sends the message once, if the attempt can be recorded."""
        with suppress(OSError):
            self.harness.now += 1
            self.log.record_attempt(message, self.harness.now, "e1")
            self.harness.first_run_at.setdefault(message.trace_id, self.harness.now)
            self.harness.runs[message.trace_id] += 1
            return True
        return False

    def restore(self) -> None:
        """Delivers what the log has, as after a restart."""
        for message in list(self.log.messages.live.values()):
            if message.in_flight_since is not None:
                self.log.record_outcome(message, may_have_run=True)
            self.check_first_run(message)
            if not message.finished and may_be_sent(message):
                assert self.attempt(message)
            self.log.record_finished(message)
            self.harness.ended.add(message.trace_id)

    def restore_some(self, random: Random) -> None:
        """Delivers a part of what the log has; attempts that cannot be recorded are not made."""
        for message in list(self.log.messages.live.values()):
            if message.in_flight_since is not None:
                self.log.record_outcome(message, may_have_run=True)
            self.check_first_run(message)
            if random.random() < 0.5:
                continue
            sent = not message.finished and may_be_sent(message)
            if sent and (not self.attempt(message) or random.random() < 0.3):
                continue
            self.log.record_finished(message)
            self.harness.ended.add(message.trace_id)

    def check_first_run(self, message: StoredMessage) -> None:
        """Checks that a window that begins with the first attempt that may have run begins in time."""
        first_run_at = self.harness.first_run_at.get(message.trace_id)
        if first_run_at is not None:
            assert message.first_run_at is not None, message.trace_id
            assert message.first_run_at <= first_run_at, message.trace_id


def may_be_sent(message: StoredMessage) -> bool:
    """Whether the class of the message allows one more attempt."""
    return message.traffic_class == IDEMPOTENT or message.first_run_at is None


def write_earlier_log(folder: Path, harness: SenderHarness) -> None:
    """Writes the log of an earlier process, which has ended."""
    log = WriteAheadLog(folder, MAX_LOG_BYTES)
    process = Process(log, harness)
    for number in range(EARLIER_MESSAGES):
        process.accept(number)
    # Two messages that no attempt was made for, and one in flight, are left to the process under test.
    for trace_id, traffic_class in (("u0", IDEMPOTENT), ("u1", AT_MOST_ONCE), ("u2", AT_MOST_ONCE)):
        message = StoredMessage(log.messages.last_id + 1, trace_id, traffic_class, 1, None, None, 2**60, BODY)
        assert log.record_submitted(message)
        harness.accepted.add(trace_id)
    assert process.attempt(message)
    log.close()


def at_most_once_messages_run_twice(harness: SenderHarness) -> list[str]:
    """Returns the at-most-once messages that were sent again after an attempt that may have run.

    The first attempt of a message whose number is no multiple of 3 is known not to have run.
    """
    twice = []
    for trace_id, runs in harness.runs.items():
        number = int(trace_id[1:])
        if trace_id.startswith("u"):
            allowed = FOR_GOOD if trace_id == "u0" else 1
        elif number % 2 == IDEMPOTENT:
            allowed = FOR_GOOD
        else:
            allowed = 1 if number % 3 == 0 else 2
        if runs > allowed:
            twice.append(trace_id)
    return twice
