"""Restarts: recovery of messages and outages from the state directory."""

from __future__ import annotations

import signal
from functools import partial

import gevent
import pytest
from gevent.server import StreamServer
from support.sender_harness import LIMITS, SenderHarness, free_address, wait_until
from support.server import live_messages

from ashpath.emulator.fault_injection.call_faults import CallFault, FaultyCall, ProcessFaults
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time


def attempted_once(harness: SenderHarness, trace: str) -> bool:
    """Returns whether a message has had exactly one attempt."""
    return harness.attempt_count(trace) == 1


def test_kill_preserves_messages_in_every_state(harness: SenderHarness) -> None:
    """The sender is killed with an attempt in flight for each kind of traffic class, a message that has
    already finished, and two messages of one ordering key."""
    harness.start()
    for number, traffic_class in enumerate(("free", "tag", "once")):
        harness.submit(f"k{number}", traffic_class, "hang 200", number)
        wait_until(partial(attempted_once, harness, f"k{number}"))
    harness.submit("late", "tag", "hang", 5, time_left_ms=100)
    harness.members[6]["host_port"] = "127.0.0.1:1"
    harness.submit("first", "tag", "hang slow", 7, ordering_key="a")
    wait_until(lambda: harness.attempt_count("first") == 1)
    assert harness.submit("second", "tag", "200", 7, ordering_key="a") == 202
    # Waits until the write-ahead log no longer has the notification of `late`: a kill that cuts off the 204
    # would cause a second notification, which is harmless.
    wait_until(
        lambda: harness.notified("late")
        and "late" not in [entry.trace_id for entry in live_messages(harness).values()]
    )
    assert harness.kill() == -signal.SIGKILL
    harness.start()
    wait_until(lambda: harness.notified("k2"))
    assert harness.notified("k2") == ["undeliverable"]
    assert harness.attempt_count("k2") == 1
    wait_until(
        lambda: harness.attempt_count("k0") == harness.attempt_count("k1") == 2
        and harness.attempt_count("second") == 1
    )
    assert harness.attempts["k1"][0].body == harness.attempts["k1"][1].body
    assert list(harness.attempts).index("second") > list(harness.attempts).index("first")
    assert harness.attempt_count("first") == 2
    wait_until(lambda: not live_messages(harness))
    assert [line["id"] for line in harness.notifications] == ["late", "k2"]


def test_repeated_kills_neither_lose_nor_repeat_messages(harness: SenderHarness) -> None:
    """Guards against lost and repeated messages: the sender is killed twice with many messages in all
    stages. Each message reaches one final outcome, and none of the class `once` has a second attempt."""
    harness.start()
    accepted = {}
    for number in range(36):
        traffic_class = ("free", "tag", "once")[number % 3]
        if harness.submit(f"m{number}", traffic_class, "slow 200" if number % 4 else "200", number) == 202:
            accepted[f"m{number}"] = traffic_class
        if number in (14, 29):
            harness.kill()
            harness.start()
    assert len(accepted) == 36
    wait_until(lambda: not live_messages(harness))
    for trace, traffic_class in accepted.items():
        statuses = harness.notified(trace)
        assert statuses == (["undeliverable"] if traffic_class == "once" and statuses else []), (
            trace,
            statuses,
        )
        assert harness.attempt_count(trace) <= (1 if traffic_class == "once" else 3)
        assert harness.attempt_count(trace) or statuses
    assert any(harness.notified(trace) for trace in accepted)
    assert any(harness.attempt_count(trace) > 1 for trace in accepted)


def test_overdue_messages_are_finished_after_a_kill(harness: SenderHarness) -> None:
    """The restart finds a deduplication window and deadlines that have passed, and a notification that was
    not acknowledged. The sender makes no attempt."""
    write_ahead_log = WriteAheadLog(harness.folder / "state", LIMITS.storage.disk_bytes)
    attempted_at = stored_time() - 20_000_000
    # The traffic class, the time left in microseconds, and whether an attempt was made.
    cases = [(1, 5_000_000, True), (0, -10, False), (1, -10, True), (0, 9, False)]
    for number, (traffic_class, time_left, was_attempted) in enumerate(cases):
        entry = StoredMessage(
            number + 1, f"o{number}", traffic_class, 1, None, None, stored_time() + time_left, b"200"
        )
        assert write_ahead_log.record_submitted(entry)
        if was_attempted:
            write_ahead_log.record_attempt(entry, attempted_at, "e1")
    write_ahead_log.record_finished(entry, '{"id":"o3","status":"deferred","again_ms":5}')
    write_ahead_log.close()
    harness.notifications_to_reject = 2
    harness.start()
    wait_until(lambda: len(harness.notifications) == 4)
    statuses = {line["id"]: line["status"] for line in harness.notifications}
    assert statuses == {"o0": "undeliverable", "o1": "deferred", "o2": "undeliverable", "o3": "deferred"}
    assert not harness.attempts


def test_recovering_destination_gets_one_attempt_after_a_restart(harness: SenderHarness) -> None:
    """Guards a recovering destination against a burst from a sender that was killed during the outage: the
    outage is restored, and one of five queued messages is attempted at first."""
    address = free_address()  # no server listens on this address yet
    harness.members[3]["host_port"] = f"127.0.0.1:{address[1]}"
    rule = {"cold-from": 0.9, "ramp-time": 10000.0, "fall-multiple": 2.0, "fall": 3000.0}
    settings = harness.config["settings"]
    harness.config["settings"] = settings | {"contract": settings["contract"] | rule}
    harness.configure()
    harness.start()
    assert harness.submit("well", "free", "200", 2) == 202
    wait_until(lambda: harness.attempt_count("well"))
    gevent.sleep(1.6)  # an outage begins only after this long without a success
    for number in range(5):
        assert harness.submit(f"h{number}", "free", "200", 3) == 202
    wait_until(lambda: "destination 3 ailing" in (harness.folder / "log").read_text())
    harness.kill()
    recovered_endpoint = StreamServer(address, harness.serve_endpoint)
    recovered_endpoint.start()
    harness.start()
    wait_until(lambda: any(harness.attempt_count(f"h{number}") for number in range(5)))
    gevent.sleep(0.2)
    assert sum(harness.attempt_count(f"h{number}") for number in range(5)) == 1  # of the five queued messages
    recovered_endpoint.stop()


def test_sender_in_a_new_directory_on_a_full_disk_accepts_once_the_disk_has_room(
    harness: SenderHarness,
) -> None:
    """No lock file can be made at first: the sender starts and rejects messages. Once files can be made it
    accepts messages, which a kill does not lose."""
    log = harness.folder / "log"
    harness.faults = ProcessFaults((CallFault(FaultyCall.OPEN, "ENOSPC", count=24),))
    harness.start()
    assert harness.submit("early", "free", "200", 1) == 503
    assert not list((harness.folder / "state").glob("journal*"))
    # A submission uses up some of the faults: with further ones, none may be left at the first repair.
    wait_until(lambda: "write-ahead log behind" in log.read_text())
    wait_until(lambda: harness.submit("late", "once", "hang", 1) == 202)
    wait_until(partial(attempted_once, harness, "late"))
    wait_until(lambda: "write-ahead log whole again" in log.read_text())
    lines = log.read_text()
    assert lines.count("write-ahead log behind") == lines.count("write-ahead log whole again") == 1
    harness.kill()
    harness.faults = None
    harness.start()
    wait_until(lambda: harness.notified("late") == ["undeliverable"])
    assert harness.attempt_count("late") == 1
    assert harness.attempt_count("early") == 0


def test_restart_delivers_messages_although_the_log_cannot_be_rewritten(harness: SenderHarness) -> None:
    """No file can be renamed. The messages of the log are delivered, further ones accepted, and a kill in
    this state repeats no message that may not be."""

    def not_rewritten_lines() -> int:
        return (harness.folder / "log").read_text().count("write-ahead log not rewritten")

    harness.start()
    for destination, traffic_class in enumerate(("free", "once")):
        assert harness.submit(traffic_class, traffic_class, "hang 200", destination) == 202
        wait_until(partial(attempted_once, harness, traffic_class))
    harness.kill()
    harness.faults = ProcessFaults((CallFault(FaultyCall.RENAME, "EIO"),))
    harness.start()
    wait_until(lambda: harness.attempt_count("free") == 2 and harness.notified("once") == ["undeliverable"])
    assert harness.submit("late", "once", "hang 200", 2) == 202
    wait_until(lambda: harness.attempt_count("late") == not_rewritten_lines() == 1)
    harness.kill()
    harness.start()
    wait_until(lambda: harness.notified("late") == ["undeliverable"] and not_rewritten_lines() == 2)
    assert [harness.attempt_count(trace_id) for trace_id in ("free", "once", "late")] == [2, 1, 1]


def test_log_that_the_start_could_not_adopt_is_adopted_later(harness: SenderHarness) -> None:
    """A process killed in a hot upgrade left a log of its own. The next process binds the address itself, and
    the disk fails while it opens the logs."""
    harness.start()
    harness.kill()
    left = WriteAheadLog(harness.folder / "left", LIMITS.storage.disk_bytes)
    assert left.record_submitted(
        StoredMessage(1, "left", 0, 1, None, None, stored_time() + 30_000_000, b"200")
    )
    left.close()
    left.file.path.rename(harness.folder / "state" / "journal-7")
    harness.faults = ProcessFaults((CallFault(FaultyCall.RENAME, "EIO", count=2),))  # both logs' rewrites
    harness.start()
    wait_until(partial(attempted_once, harness, "left"))
    wait_until(lambda: not (harness.folder / "state" / "journal-7").exists())
    wait_until(lambda: not live_messages(harness))


def test_startup_waits_for_free_descriptors(harness: SenderHarness) -> None:
    """Guards against a start that fails when descriptors run out for a moment. The first socket is that of
    the first poll; the listening sockets follow, and the next five attempts to create a socket fail."""
    harness.faults = ProcessFaults((CallFault(FaultyCall.SOCKET, "ENFILE", skip=1, count=5),))
    harness.start()
    assert harness.submit("a", "free", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("a") == 1)


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
def test_start_outlasts_disk_that_fails_for_a_while(harness: SenderHarness, error: str) -> None:
    """Guards against a process that ends by itself: a start whose disk opens no file for a second and a half
    ended with exit code 2, and what it had accepted before stayed unanswered."""
    harness.start()
    assert harness.submit("kept", "once", "wait 200", 1) == 202
    wait_until(lambda: harness.attempt_count("kept") == 1)
    harness.kill()
    harness.faults = ProcessFaults((CallFault(FaultyCall.OPEN, error, end_s=1.5),))
    harness.start()
    wait_until(lambda: harness.attempt_count("kept") == 2)
    assert harness.submit("later", "once", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("later") == 1)
