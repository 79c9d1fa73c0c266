"""The logs of two processes of one sender: each knows what the other one has accepted and ended."""

from __future__ import annotations

from pathlib import Path
from random import Random
from unittest.mock import Mock

import pytest

from ashpath.core.messages import OrderedQueue
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time

MAX_BYTES = 1 << 20
TIME_LEFT = 60_000_000  # microseconds


def message_of_key(log: WriteAheadLog, trace_id: str, key: int) -> StoredMessage:
    """Returns a message that the log's process has accepted."""
    deadline = stored_time() + TIME_LEFT
    message = StoredMessage(0, trace_id, 0, 1, key, None, deadline, b"")
    assert log.record_submitted(message)
    log.predecessors.find([message])
    return message


def live_of_key(log: WriteAheadLog, key: int) -> list[str]:
    """Returns the trace ids of the messages of a key that the other processes have not ended."""
    return [message.trace_id for message in log.other_logs.live_of_keys({key})]


@pytest.fixture
def logs(tmp_path: Path) -> tuple[WriteAheadLog, WriteAheadLog]:
    """The logs of the old and of the new process of a hot upgrade."""
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    return old, WriteAheadLog(tmp_path, MAX_BYTES)


def test_messages_of_other_process_are_known_from_accept_to_end(
    logs: tuple[WriteAheadLog, WriteAheadLog],
) -> None:
    old, new = logs
    message = message_of_key(old, "a", 7)
    assert live_of_key(new, 7) == ["a"]
    assert live_of_key(new, 8) == []
    assert new.other_logs.is_live("a")
    assert not new.other_logs.has_ended("a")
    later = message_of_key(new, "b", 7)
    assert new.predecessors.has_unfinished(later)
    old.record_attempt(message, 1, "e1")
    old.record_finished(message)
    assert not new.predecessors.has_unfinished(later)
    assert not new.other_logs.is_live("a")
    assert new.other_logs.has_ended("a")


def test_process_that_has_just_started_is_known_to_the_other_one(tmp_path: Path) -> None:
    """Guards against an id that runs twice: at the new process of an upgrade, and again at the old one, which
    had not looked for other logs since."""
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    assert not old.other_logs.is_live("a")
    new = WriteAheadLog(tmp_path, MAX_BYTES)
    message = message_of_key(new, "a", 7)
    assert old.other_logs.is_live("a")
    assert live_of_key(old, 7) == ["a"]
    new.record_attempt(message, 1, "e1")
    new.record_finished(message)
    assert old.other_logs.has_ended("a")


def test_other_log_is_read_from_its_begin_after_it_was_rewritten(
    logs: tuple[WriteAheadLog, WriteAheadLog],
) -> None:
    old, new = logs
    for trace_id in "abc":
        message_of_key(old, trace_id, 7)
    assert len(live_of_key(new, 7)) == 3
    old.record_finished(old.messages.by_trace_id["b"])
    assert old.repair()
    assert live_of_key(new, 7) == ["a", "c"]
    message_of_key(old, "d", 7)
    assert live_of_key(new, 7) == ["a", "c", "d"]


def test_predecessor_stays_unfinished_while_it_is_adopted(logs: tuple[WriteAheadLog, WriteAheadLog]) -> None:
    old, new = logs
    message_of_key(old, "a", 7)
    later = message_of_key(new, "b", 7)
    old.close()
    assert [message.trace_id for message in new.adopt()] == ["a"]
    assert live_of_key(new, 7) == []
    assert new.predecessors.has_unfinished(later)
    new.record_finished(new.messages.by_trace_id["a"])
    assert not new.predecessors.has_unfinished(later)


@pytest.mark.parametrize(
    ("added", "ids"),
    [
        # id and followers of each message that is added
        ([(4, ()), (1, (4,)), (5, ()), (2, (4, 5))], [1, 2, 4, 5]),
        # Message 2 was put in front of message 1, which was in flight (review/9).
        ([(1, ()), (3, ()), (2, (3,))], [1, 2, 3]),
        ([(1, ()), (3, ()), (4, ()), (2, (4,))], [1, 3, 2, 4]),
        ([(3, ()), (2, (9,))], [3, 2]),  # the follower is in no queue
    ],
)
def test_adopted_message_goes_directly_ahead_of_its_followers(
    added: list[tuple[int, tuple[int, ...]]], ids: list[int]
) -> None:
    queue = OrderedQueue(7)
    for message_id, followers in added:
        queue.add(Mock(message_id=message_id), followers)
    assert [message.message_id for message in queue.messages] == ids


def test_predecessor_that_another_process_adopts_between_two_reads_stays_unfinished(tmp_path: Path) -> None:
    """Its message was in neither log where the log that it moved to had been read before it moved."""
    adopter = WriteAheadLog(tmp_path, MAX_BYTES)  # `journal`, which is read first
    ended, waiting = (other_process_log(tmp_path, number) for number in (1, 2))
    message_of_key(ended, "a", 7)
    later = message_of_key(waiting, "b", 7)
    assert waiting.predecessors.has_unfinished(later)
    ended.close()
    first_log = next(iter(waiting.other_logs._logs.values()))  # noqa: SLF001 - the moment of the move
    read_on = first_log.read_on

    def read_then_adopt() -> None:
        read_on()
        first_log.read_on = read_on  # type: ignore[method-assign]
        adopter.adopt()

    first_log.read_on = read_then_adopt  # type: ignore[method-assign]
    assert waiting.predecessors.has_unfinished(later)


def test_process_does_not_wait_for_messages_that_were_accepted_later(
    logs: tuple[WriteAheadLog, WriteAheadLog],
) -> None:
    """Two processes that each find the other's message would wait for each other."""
    old, new = logs
    first = message_of_key(old, "a", 7)
    second = message_of_key(new, "b", 7)
    old.predecessors.find([first])
    assert not old.predecessors.has_unfinished(first)
    assert new.predecessors.has_unfinished(second)


def other_process_log(directory: Path, process_id: int) -> WriteAheadLog:
    """Returns the log of a process with this id, as a further process of the sender has it."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("os.getpid", lambda: process_id)
        return WriteAheadLog(directory, MAX_BYTES)


# Messages were restored in the order of the files: an adopted one behind newer ones of its adopter, and those
# of `journal` before those of `journal-PID` (REPORT-2, adoption order).
@pytest.mark.parametrize("seed", range(20))
def test_order_of_acceptance_outlasts_adoptions_kills_and_starts(tmp_path: Path, seed: int) -> None:
    random = Random(seed)
    accepted: list[str] = []
    running: dict[int, WriteAheadLog] = {0: WriteAheadLog(tmp_path, MAX_BYTES)}
    for number in range(1, 60):
        step = random.random()
        if step < 0.15 and len(running) < 3:
            running[number] = other_process_log(tmp_path, number)
        elif step < 0.3 and len(running) > 1:
            running.pop(random.choice(list(running))).close()  # as a kill: nothing is written
        elif step < 0.5:
            random.choice(list(running.values())).adopt()
        else:
            trace_id = f"t{number}"
            message_of_key(random.choice(list(running.values())), trace_id, 7)
            accepted.append(trace_id)
        for log in running.values():
            order = [message.trace_id for message in log.messages.in_order()]
            assert order == [trace_id for trace_id in accepted if trace_id in order]
    for log in running.values():
        log.close()
    last = WriteAheadLog(tmp_path, MAX_BYTES)
    assert [message.trace_id for message in last.messages.in_order()] == accepted


def test_message_ids_grow_over_processes_and_starts(tmp_path: Path) -> None:
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    new = WriteAheadLog(tmp_path, MAX_BYTES)
    ids = [message_of_key(log, f"m{number}", 7).message_id for number, log in enumerate((old, new, old, new))]
    for log in (old, new):
        for message in log.messages.in_order():
            log.record_finished(message)
        log.repair()  # the files have no id any more
        log.close()
    ids.append(message_of_key(WriteAheadLog(tmp_path, MAX_BYTES), "last", 7).message_id)
    assert ids == sorted(set(ids))


@pytest.mark.parametrize(("may_have_run", "rests"), [(True, True), (False, False)])
def test_key_rests_after_an_attempt_of_another_process_that_may_still_run(
    logs: tuple[WriteAheadLog, WriteAheadLog], *, may_have_run: bool, rests: bool
) -> None:
    old, new = logs
    earlier = message_of_key(old, "a", 7)
    later = message_of_key(new, "b", 7)
    other_key = message_of_key(new, "c", 8)
    old.record_attempt(earlier, 1, "e1")
    old.record_outcome(earlier, may_have_run=may_have_run)
    old.record_finished(earlier, "{}")
    old.record_finished(earlier)
    assert not new.predecessors.has_unfinished(later)
    assert (new.predecessors.rest_left(later, 5.0) > 4.0) is rests
    assert new.predecessors.rest_left(later, 0.0) == 0.0
    assert new.predecessors.rest_left(other_key, 5.0) == 0.0
    assert new.predecessors.rest_left(earlier, 5.0) == 0.0  # its own retry
    old.close()
    new.adopt()
    assert (new.predecessors.rest_left(later, 5.0) > 4.0) is rests  # also once the log is gone


# The next message of a key went out 18 ms after a call that was given up by the end of the other process.
@pytest.mark.parametrize("recorded", [True, False], ids=["outcome recorded", "in flight"])
def test_key_rests_after_an_attempt_that_the_end_of_its_process_gave_up(
    logs: tuple[WriteAheadLog, WriteAheadLog], *, recorded: bool
) -> None:
    old, new = logs
    earlier = message_of_key(old, "a", 7)
    later = message_of_key(new, "b", 7)
    assert new.predecessors.has_unfinished(later)
    old.record_attempt(earlier, 1, "e1")
    if recorded:
        old.record_outcome(earlier, may_have_run=True)
        old.record_finished(earlier, "{}")
    old.close()
    new.adopt()
    assert new.predecessors.rest_left(later, 5.0) > 4.0
